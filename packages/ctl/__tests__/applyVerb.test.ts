import test from 'ava';
import { createCtlFixture, deskText } from './helpers/ctlFixture';

const changedWeightText = deskText.replace('weight: 2', 'weight: 5');
const oneDataCentreText = deskText.replace('[north, south]', '[north]');

test('apply creates and then updates a document, and shows the changed fields', async (t) => {
  const fixture = createCtlFixture({ 'desk.yaml': deskText });
  t.is((await fixture.run('apply', 'desk.yaml')).exitCode, 0);
  fixture.files['desk.yaml'] = changedWeightText;
  const { exitCode, output } = await fixture.run('apply', 'desk.yaml');
  t.is(exitCode, 0);
  t.regex(output, /written as version 2/);
  t.regex(output, /~ classes\[counter\]\.weight: 2 -> 5/);
  t.regex((await fixture.run('apply', 'desk.yaml')).output, /version 2 already has this text/);
});

test('nothing is applied if one file is invalid, and all findings are shown', async (t) => {
  const invalid = deskText.replace('kind: plain', 'kind: plane\nwieght: 1');
  const fixture = createCtlFixture({ 'desk.yaml': deskText, 'bad.yaml': invalid });
  const { exitCode, errors } = await fixture.run('apply', 'desk.yaml', 'bad.yaml');
  t.is(exitCode, 3);
  t.regex(errors, /bad\.yaml:5:7: kind:/);
  t.regex(errors, /bad\.yaml:6:1: wieght: unknown field/);
  t.true((await fixture.platform.get('document', 'desk')).isErr());
});

// Two operators apply at the same time. Ours reads version 1, the other one writes version 2, and our conditional
// write is refused. The other edit must not be overwritten, and the operator must see what it changed.
test('a lost race writes nothing and shows what changed in the meantime', async (t) => {
  const fixture = createCtlFixture({ 'desk.yaml': changedWeightText });
  fixture.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  fixture.platform.beforeNextWrite(() => {
    fixture.platform.put('document', 'desk', { text: oneDataCentreText, format: 'yaml' });
  });
  const { exitCode, errors } = await fixture.run('apply', 'desk.yaml');
  t.is(exitCode, 4);
  t.regex(errors, /made from version 1, but the platform has 2/);
  t.regex(errors, /changed in the meantime:\n\s+- dataCentres\[south\]/);
  t.is(await fixture.storedText(), oneDataCentreText);
});

// An operator gets a document and edits it for an hour; a colleague writes it meanwhile. Without the version that
// `get` notes in the file, the late apply would silently revert the colleague's edit.
test('a file that get wrote is applied only to the version it was made from', async (t) => {
  const fixture = createCtlFixture();
  fixture.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  const { output } = await fixture.run('get', 'desk');
  fixture.files['desk.yaml'] = output.replace('weight: 2', 'weight: 5');
  fixture.platform.put('document', 'desk', { text: oneDataCentreText, format: 'yaml' });
  const late = await fixture.run('apply', 'desk.yaml');
  t.is(late.exitCode, 4);
  t.regex(late.errors, /\+ dataCentres\[south\]/);
  t.is((await fixture.run('apply', 'desk.yaml', '--base-version', '2')).exitCode, 0);
  t.is(await fixture.storedText(), changedWeightText);
});

// The write takes effect, but the connection breaks before the response. Reading the document back finds our own
// text, so the command must report the write as done and not as failed.
test('after a lost response, the document is read back to see whether it was written', async (t) => {
  const fixture = createCtlFixture({ 'desk.yaml': changedWeightText });
  fixture.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  fixture.platform.loseNextResponse();
  const { exitCode, output } = await fixture.run('apply', 'desk.yaml');
  t.is(exitCode, 0);
  t.regex(output, /written as version 2/);
});

test('apply waits until the edit is rejected and shows the findings', async (t) => {
  const fixture = createCtlFixture({ 'desk.yaml': deskText });
  fixture.platform.put('status', 'desk', {
    documentVersion: 1,
    state: 'rejected',
    generation: 4,
    findings: [{ path: 'routes[0]', message: 'belongs to service "other" already' }],
  });
  const { exitCode, errors } = await fixture.run('apply', 'desk.yaml', '--wait-ms', '1000');
  t.is(exitCode, 3);
  t.regex(errors, /routes\[0\]: belongs to service "other" already/);
  t.regex(errors, /generation 4 stays in force/);
});

test('an outage of the platform has its own exit code', async (t) => {
  const fixture = createCtlFixture({ 'desk.yaml': deskText });
  fixture.platform.fail({ kind: 'unavailable', detail: 'refused' });
  t.is((await fixture.run('apply', 'desk.yaml')).exitCode, 5);
});
