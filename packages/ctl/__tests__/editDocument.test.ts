import test from 'ava';
import { parse } from 'yaml';
import { createCtlBench, deskText } from './helpers/ctlBench';

function createBenchWithDesk() {
  const bench = createCtlBench();
  bench.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  bench.platform.addInstance({
    id: 'agent-1',
    kind: 'agent',
    service: 'desk',
    dataCentre: 'north',
    innerAddress: 'http://127.0.0.1:1',
    state: 'live',
  });
  return bench;
}

test('drain edits the document and keeps the rest of its text', async (t) => {
  const bench = createBenchWithDesk();
  t.is((await bench.run('drain', 'agent-1')).exitCode, 0);
  t.is(await bench.storedText(), `${deskText}drain:\n  instances:\n    - agent-1\n`);
  t.regex((await bench.run('drain', 'agent-1')).output, /as version 2 says already/);
  await bench.run('undrain', 'agent-1');
  t.is(await bench.storedText(), `${deskText}drain:\n  instances: []\n`);
});

test('an instance that has left the list is found by the document that drains it', async (t) => {
  const bench = createBenchWithDesk();
  await bench.run('drain', 'gone-1', '--service', 'desk');
  t.is((await bench.run('undrain', 'gone-1')).exitCode, 0);
  t.is((await bench.run('undrain', 'gone-2')).exitCode, 2);
});

// Another operator's edit lands between our read and our write. The drain concerns one list item, so
// it is made again on the newer text, and both edits are kept.
test('a drain that loses a race is made again on the newer text', async (t) => {
  const bench = createBenchWithDesk();
  const newerText = deskText.replace('weight: 2', 'weight: 5');
  bench.platform.beforeNextWrite(() => {
    bench.platform.put('document', 'desk', { text: newerText, format: 'yaml' });
  });
  t.is((await bench.run('drain', 'agent-1')).exitCode, 0);
  t.true((await bench.storedText()).startsWith(newerText));
  t.regex(await bench.storedText(), /- agent-1/);
});

test('a document that is rejected as it stands is not edited', async (t) => {
  const bench = createBenchWithDesk();
  bench.platform.put('document', 'desk', { text: 'service: desk\n', format: 'yaml' });
  const { exitCode, errors } = await bench.run('drain', 'agent-1');
  t.is(exitCode, 3);
  t.regex(errors, /not written, because the document would be rejected/);
});

test('quarantine block and release move a fingerprint between the lists', async (t) => {
  const bench = createBenchWithDesk();
  await bench.run('quarantine', 'block', 'f1', '--service', 'desk');
  t.regex(await bench.storedText(), /quarantine:\n {2}block:\n {4}- f1\n/);
  await bench.run('quarantine', 'release', 'f1', '--service', 'desk');
  t.regex(await bench.storedText(), /block: \[\]\n {2}release:\n {4}- f1\n/);
});

test('comments, quotes and blank lines around and within an edited section are kept', async (t) => {
  const bench = createBenchWithDesk();
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
  bench.platform.put('document', 'desk', { text, format: 'yaml' });
  await bench.run('drain', 'agent-1');
  t.is(
    await bench.storedText(),
    text
      .replace('drain: # why\n', 'drain:\n  # why\n')
      .replace('broken disk\n', 'broken disk\n    - agent-1\n'),
  );
});

test('documents in braces and in JSON are edited as well', async (t) => {
  const bench = createBenchWithDesk();
  const value = parse(deskText);
  bench.platform.put('document', 'desk', { text: JSON.stringify(value), format: 'json' });
  await bench.run('drain', 'agent-1');
  t.deepEqual(JSON.parse(await bench.storedText()).drain, { instances: ['agent-1'] });
  bench.platform.put('document', 'desk', { text: JSON.stringify(value), format: 'yaml' });
  await bench.run('drain', 'agent-1');
  t.regex(await bench.storedText(), /"?instances"?: \[ ?"?agent-1"? ?\]/);
});
