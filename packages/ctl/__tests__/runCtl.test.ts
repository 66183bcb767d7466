import test from 'ava';
import { parseDocument } from '@bluebellhitch/document';
import { createCtlBench, deskText } from './helpers/ctlBench';

const admin = 'http://127.0.0.1:9100';

function acceptDesk(bench: ReturnType<typeof createCtlBench>, text = deskText) {
  const { document } = parseDocument(text)._unsafeUnwrap();
  bench.platform.put('document', 'desk', { text, format: 'yaml' });
  bench.platform.put('accepted', 'desk', {
    generation: 7,
    documentVersion: 1,
    acceptedAt: '2026-01-02T03:04:05.000Z',
    document,
  });
}

test('all findings of a command line are reported together', async (t) => {
  const bench = createCtlBench();
  const { exitCode, errors } = await bench.run(
    'diff',
    '--wait-ms',
    'soon',
    '--colour',
    '--admin',
    'x',
  );
  t.is(exitCode, 2);
  t.regex(errors, /--wait-ms: must be a whole number/);
  t.regex(errors, /--colour: unknown flag/);
  t.regex(errors, /--admin: x is no http:\/\/ address/);
  t.regex(errors, /diff: wrong number of arguments \(bluebellctl diff FILE\)/);
});

test('prints help for all verbs and for one, and the version', async (t) => {
  const bench = createCtlBench();
  t.regex((await bench.run('--help')).output, /quarantine list \| release/);
  t.regex((await bench.run('apply', '--help')).output, /--base-version N/);
  t.is((await bench.run('--version')).output, '9.9.9\n');
  t.is((await bench.run('aply')).exitCode, 2);
});

test('validate reports every file; --json is one object', async (t) => {
  const bench = createCtlBench({ 'a.yaml': deskText, 'b.yaml': 'kind: plain' });
  const { exitCode, output } = await bench.run('validate', 'a.yaml', 'b.yaml', 'c.yaml', '--json');
  t.is(exitCode, 3);
  const states = JSON.parse(output).documents.map(({ state }: { state: string }) => state);
  t.deepEqual(states, ['valid', 'invalid', 'unreadable']);
});

test('diff against the platform writes nothing', async (t) => {
  const bench = createCtlBench({ 'desk.yaml': deskText.replace('weight: 2', 'weight: 5') });
  acceptDesk(bench);
  const { exitCode, output } = await bench.run('diff', 'desk.yaml');
  t.is(exitCode, 0);
  t.regex(output, /classes\[counter\]\.weight: 2 -> 5/);
  t.is(await bench.storedText(), deskText);
});

test('status tells the verdict, what is in force where, drains and quarantines', async (t) => {
  const bench = createCtlBench();
  acceptDesk(bench, `${deskText}drain: { instances: [agent-9] }\nquarantine: { block: [f1] }\n`);
  bench.platform.put('status', 'desk', {
    documentVersion: 1,
    state: 'accepted',
    generation: 7,
    findings: [],
  });
  bench.adminAnswers[`${admin}/debug/config`] = {
    instanceId: 'entry-1',
    dataCentre: 'north',
    generations: { desk: 6 },
  };
  const { output } = await bench.run('status', 'desk', '--admin', admin);
  t.regex(output, /version 1 was accepted/);
  t.regex(output, /generation 7, made from version 1/);
  t.regex(output, /entry-1 in north has generation 6/);
  t.regex(output, /drained: agent-9 \(not in the instance list\)/);
  t.regex(output, /f1 is refused until the document unblocks it/);
  t.is((await bench.run('status', 'nowhere')).exitCode, 1);
});

test('quarantine list judges strikes by the accepted document', async (t) => {
  const bench = createCtlBench();
  acceptDesk(bench);
  const strikes = ['a1', 'a2'].map((attemptId) => ({
    attemptId,
    instanceId: `on-${attemptId}`,
    struckAtMs: Date.now(),
  }));
  bench.platform.put('quarantine', 'desk/f2', {
    service: 'desk',
    fingerprint: 'f2',
    strikes,
    clearedAttemptIds: [],
  });
  const { output } = await bench.run('quarantine', 'list');
  t.regex(
    output,
    /desk: f2 is refused for \d+ s more after 2 strikes, died under it: on-a1, on-a2/,
  );
});

test('explain tells a decision record as a story, also while the platform is down', async (t) => {
  const bench = createCtlBench();
  bench.platform.fail({ kind: 'unavailable', detail: 'refused' });
  bench.adminAnswers[`${admin}/debug/decisions/42`] = {
    requestId: '42',
    service: 'desk',
    institution: 'acme',
    className: 'counter',
    startedAt: '2026-01-02T03:04:05.000Z',
    steps: [{ atMs: 1.25, kind: 'bids', detail: { seen: [{ id: 'agent-1', usableInMs: 3 }] } }],
    outcome: 'served',
  };
  const { exitCode, output } = await bench.run('explain', '42', '--admin', admin);
  t.is(exitCode, 0);
  t.regex(output, /42: served/);
  t.regex(output, /1\.3 ms {2}bids: seen \[id agent-1 usable in ms 3\]/);
  t.is((await bench.run('explain', '43', '--admin', admin)).exitCode, 1);
  t.is((await bench.run('explain', '43')).exitCode, 2);
});

// Operators name no process: the list of instances tells where to ask, and one that lists no admin port is
// left alone.
test('status and explain ask the listed processes', async (t) => {
  const bench = createCtlBench();
  acceptDesk(bench);
  const listed = { kind: 'entry', dataCentre: 'north', state: 'live' } as const;
  const innerAddress = 'http://127.0.0.1:9101';
  bench.platform.addInstance({ ...listed, id: 'entry-1', innerAddress, adminAddress: admin });
  bench.platform.addInstance({ ...listed, id: 'entry-2', innerAddress });
  bench.adminAnswers[`${admin}/debug/config`] = {
    instanceId: 'entry-1',
    dataCentre: 'north',
    generations: { desk: 7 },
  };
  bench.adminAnswers[`${admin}/debug/decisions/42`] = {
    requestId: '42',
    service: 'desk',
    institution: 'acme',
    className: 'counter',
    startedAt: '2026-01-02T03:04:05.000Z',
    steps: [],
    outcome: 'served',
  };
  const status = await bench.run('status', 'desk');
  t.regex(status.output, /in force: at 1 of 1 that answered/);
  t.regex((await bench.run('explain', '42')).output, /42: served/);
});
