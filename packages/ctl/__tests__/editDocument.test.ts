import test from 'ava';
import { parse } from 'yaml';
import { createCtlFixture, deskText } from './helpers/ctlFixture';

function createFixtureWithDesk() {
  const fixture = createCtlFixture();
  fixture.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  fixture.platform.addInstance({
    id: 'agent-1',
    kind: 'agent',
    service: 'desk',
    dataCentre: 'north',
    innerAddress: 'http://127.0.0.1:1',
    state: 'live',
  });
  return fixture;
}

test('drain edits its list in the document and keeps the rest of the text', async (t) => {
  const fixture = createFixtureWithDesk();
  t.is((await fixture.run('drain', 'agent-1')).exitCode, 0);
  t.is(await fixture.storedText(), `${deskText}drain:\n  instances:\n    - agent-1\n`);
  t.regex((await fixture.run('drain', 'agent-1')).output, /as version 2 already states/);
  await fixture.run('undrain', 'agent-1');
  t.is(await fixture.storedText(), `${deskText}drain:\n  instances: []\n`);
});

test('an instance that is no longer listed is found by the document that drains it', async (t) => {
  const fixture = createFixtureWithDesk();
  await fixture.run('drain', 'gone-1', '--service', 'desk');
  t.is((await fixture.run('undrain', 'gone-1')).exitCode, 0);
  t.is((await fixture.run('undrain', 'gone-2')).exitCode, 2);
});

// Another operator writes the document between our read and our write. The drain concerns one list item, so it is
// repeated on the newer text, and both edits are kept.
test('a drain that loses a race is repeated on the newer text', async (t) => {
  const fixture = createFixtureWithDesk();
  const newerText = deskText.replace('weight: 2', 'weight: 5');
  fixture.platform.beforeNextWrite(() => {
    fixture.platform.put('document', 'desk', { text: newerText, format: 'yaml' });
  });
  t.is((await fixture.run('drain', 'agent-1')).exitCode, 0);
  t.true((await fixture.storedText()).startsWith(newerText));
  t.regex(await fixture.storedText(), /- agent-1/);
});

test('a document that is already invalid is not edited', async (t) => {
  const fixture = createFixtureWithDesk();
  fixture.platform.put('document', 'desk', { text: 'service: desk\n', format: 'yaml' });
  const { exitCode, errors } = await fixture.run('drain', 'agent-1');
  t.is(exitCode, 3);
  t.regex(errors, /not written, because the document would be rejected/);
});

test('quarantine block and release move a fingerprint between the lists', async (t) => {
  const fixture = createFixtureWithDesk();
  await fixture.run('quarantine', 'block', 'f1', '--service', 'desk');
  t.regex(await fixture.storedText(), /quarantine:\n {2}block:\n {4}- f1\n/);
  await fixture.run('quarantine', 'release', 'f1', '--service', 'desk');
  t.regex(await fixture.storedText(), /block: \[\]\n {2}release:\n {4}- f1\n/);
});

test('comments, quotes and blank lines around and within an edited section are kept', async (t) => {
  const fixture = createFixtureWithDesk();
  const text = [
    deskText,
    '# Before the drain.',
    'drain: # why',
    '  boundMs: 90000 # ninety seconds',
    '  instances:',
    '    - old-1 # broken disk',
    '',
    '# Before the limits.',
    "limits: { 'requestTimeoutMs':   5000 } # short",
    '',
  ].join('\n');
  fixture.platform.put('document', 'desk', { text, format: 'yaml' });
  await fixture.run('drain', 'agent-1');
  t.is(
    await fixture.storedText(),
    text
      .replace('drain: # why\n', 'drain:\n  # why\n')
      .replace('broken disk\n', 'broken disk\n    - agent-1\n'),
  );
});

test('documents in braces and in JSON are edited as well', async (t) => {
  const fixture = createFixtureWithDesk();
  const value = parse(deskText);
  fixture.platform.put('document', 'desk', { text: JSON.stringify(value), format: 'json' });
  await fixture.run('drain', 'agent-1');
  t.deepEqual(JSON.parse(await fixture.storedText()).drain, { instances: ['agent-1'] });
  fixture.platform.put('document', 'desk', { text: JSON.stringify(value), format: 'yaml' });
  await fixture.run('drain', 'agent-1');
  t.regex(await fixture.storedText(), /"?instances"?: \[ ?"?agent-1"? ?\]/);
});
