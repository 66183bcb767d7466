import test from 'ava';
import { createCtlBench, deskText } from './helpers/ctlBench';

const heavierText = deskText.replace('weight: 2', 'weight: 5');
const rarerText = deskText.replace('[north, south]', '[north]');

test('creates, then changes a document and shows the fields', async (t) => {
  const bench = createCtlBench({ 'desk.yaml': deskText });
  t.is((await bench.run('apply', 'desk.yaml')).exitCode, 0);
  bench.files['desk.yaml'] = heavierText;
  const { exitCode, output } = await bench.run('apply', 'desk.yaml');
  t.is(exitCode, 0);
  t.regex(output, /written as version 2/);
  t.regex(output, /~ classes\[counter\]\.weight: 2 -> 5/);
  t.regex((await bench.run('apply', 'desk.yaml')).output, /version 2 says so already/);
});

test('one invalid file keeps the others from being applied, and all findings are shown', async (t) => {
  const invalid = deskText.replace('kind: plain', 'kind: plane\nwieght: 1');
  const bench = createCtlBench({ 'desk.yaml': deskText, 'bad.yaml': invalid });
  const { exitCode, errors } = await bench.run('apply', 'desk.yaml', 'bad.yaml');
  t.is(exitCode, 3);
  t.regex(errors, /bad\.yaml:5:7: kind:/);
  t.regex(errors, /bad\.yaml:6:1: wieght: unknown field/);
  t.true((await bench.platform.get('document', 'desk')).isErr());
});

// Two operators apply at once. Ours reads version 1, another's write lands as version 2, and our
// conditional write is refused. The operator sees what the other one changed, and nothing is lost.
test('a lost race writes nothing and shows what changed in between', async (t) => {
  const bench = createCtlBench({ 'desk.yaml': heavierText });
  bench.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  bench.platform.beforeNextWrite(() => {
    bench.platform.put('document', 'desk', { text: rarerText, format: 'yaml' });
  });
  const { exitCode, errors } = await bench.run('apply', 'desk.yaml');
  t.is(exitCode, 4);
  t.regex(errors, /made from version 1, but the platform has 2/);
  t.regex(errors, /changed in between:\n\s+- dataCentres\[south\]/);
  t.is(await bench.storedText(), rarerText);
});

// An operator gets a document and edits it for an hour; a colleague writes meanwhile. Without the
// version that `get` notes, the late apply would silently undo the colleague's edit.
test('a file that get wrote is applied over the version it came from only', async (t) => {
  const bench = createCtlBench();
  bench.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  const { output } = await bench.run('get', 'desk');
  bench.files['desk.yaml'] = output.replace('weight: 2', 'weight: 5');
  bench.platform.put('document', 'desk', { text: rarerText, format: 'yaml' });
  const late = await bench.run('apply', 'desk.yaml');
  t.is(late.exitCode, 4);
  t.regex(late.errors, /\+ dataCentres\[south\]/);
  t.is((await bench.run('apply', 'desk.yaml', '--base-version', '2')).exitCode, 0);
  t.is(await bench.storedText(), heavierText);
});

// The write takes effect, but the connection breaks before its answer. Reading back finds our own
// text, so the operator is told that it is written instead of a failure.
test('a lost answer is settled by reading back', async (t) => {
  const bench = createCtlBench({ 'desk.yaml': heavierText });
  bench.platform.put('document', 'desk', { text: deskText, format: 'yaml' });
  bench.platform.loseNextAnswer();
  const { exitCode, output } = await bench.run('apply', 'desk.yaml');
  t.is(exitCode, 0);
  t.regex(output, /written as version 2/);
});

test('waits for the verdict and tells a rejection', async (t) => {
  const bench = createCtlBench({ 'desk.yaml': deskText });
  bench.platform.put('status', 'desk', {
    documentVersion: 1,
    state: 'rejected',
    generation: 4,
    findings: [{ path: 'routes[0]', message: 'belongs to service "other" already' }],
  });
  const { exitCode, errors } = await bench.run('apply', 'desk.yaml', '--wait-ms', '1000');
  t.is(exitCode, 3);
  t.regex(errors, /routes\[0\]: belongs to service "other" already/);
  t.regex(errors, /generation 4 stays in force/);
});

test('an outage of the platform has its own exit code', async (t) => {
  const bench = createCtlBench({ 'desk.yaml': deskText });
  bench.platform.fail({ kind: 'unavailable', detail: 'refused' });
  t.is((await bench.run('apply', 'desk.yaml')).exitCode, 5);
});
