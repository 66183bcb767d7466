import test from 'ava';
import { parseDocument } from '@bluebellhitch/document';
import { createCtlFixture, deskText } from './helpers/ctlFixture';

const adminUrl = 'http://127.0.0.1:9100';

function acceptDesk(fixture: ReturnType<typeof createCtlFixture>, text = deskText) {
  const { document } = parseDocument(text)._unsafeUnwrap();
  fixture.platform.put('document', 'desk', { text, format: 'yaml' });
  fixture.platform.put('accepted', 'desk', {
    generation: 7,
    documentVersion: 1,
    acceptedAt: '2026-01-02T03:04:05.000Z',
    document,
  });
}

test('all findings of a command line are reported together', async (t) => {
  const fixture = createCtlFixture();
  const { exitCode, errors } = await fixture.run(
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
  t.regex(errors, /--admin: x is not an http:\/\/ address/);
  t.regex(errors, /diff: wrong number of arguments \(bluebellctl diff FILE\)/);
});

test('prints help for all verbs and for one, and the version', async (t) => {
  const fixture = createCtlFixture();
  t.regex((await fixture.run('--help')).output, /quarantine list \| release/);
  t.regex((await fixture.run('apply', '--help')).output, /--base-version N/);
  t.is((await fixture.run('--version')).output, '9.9.9\n');
  t.is((await fixture.run('aply')).exitCode, 2);
});

test('validate reports every file; --json is one object', async (t) => {
  const fixture = createCtlFixture({ 'a.yaml': deskText, 'b.yaml': 'kind: plain' });
  const { exitCode, output } = await fixture.run(
    'validate',
    'a.yaml',
    'b.yaml',
    'c.yaml',
    '--json',
  );
  t.is(exitCode, 3);
  const states = JSON.parse(output).documents.map(({ state }: { state: string }) => state);
  t.deepEqual(states, ['valid', 'invalid', 'unreadable']);
});

test('diff against the platform writes nothing', async (t) => {
  const fixture = createCtlFixture({ 'desk.yaml': deskText.replace('weight: 2', 'weight: 5') });
  acceptDesk(fixture);
  const { exitCode, output } = await fixture.run('diff', 'desk.yaml');
  t.is(exitCode, 0);
  t.regex(output, /classes\[counter\]\.weight: 2 -> 5/);
  t.is(await fixture.storedText(), deskText);
});

test('status shows the last edit, the active generations, drains and quarantines', async (t) => {
  const fixture = createCtlFixture();
  acceptDesk(fixture, `${deskText}drain: { instances: [agent-9] }\nquarantine: { block: [f1] }\n`);
  fixture.platform.put('status', 'desk', {
    documentVersion: 1,
    state: 'accepted',
    generation: 7,
    findings: [],
  });
  fixture.adminResponses[`${adminUrl}/debug/config`] = {
    instanceId: 'entry-1',
    dataCentre: 'north',
    generations: { desk: 6 },
  };
  const { output } = await fixture.run('status', 'desk', '--admin', adminUrl);
  t.regex(output, /version 1 was accepted/);
  t.regex(output, /generation 7, made from version 1/);
  t.regex(output, /entry-1 in north has generation 6/);
  t.regex(output, /drained: agent-9 \(not in the instance list\)/);
  t.regex(output, /f1 is refused until the document unblocks it/);
  t.is((await fixture.run('status', 'nowhere')).exitCode, 1);
});

test('quarantine list evaluates strikes by the policy of the accepted document', async (t) => {
  const fixture = createCtlFixture();
  acceptDesk(fixture);
  const strikes = ['a1', 'a2'].map((attemptId) => ({
    attemptId,
    instanceId: `on-${attemptId}`,
    struckAtMs: Date.now(),
  }));
  fixture.platform.put('quarantine', 'desk/f2', {
    service: 'desk',
    fingerprint: 'f2',
    strikes,
    clearedAttemptIds: [],
  });
  const { output } = await fixture.run('quarantine', 'list');
  t.regex(
    output,
    /desk: f2 is refused for \d+ s more after 2 strikes, crashed while running it: on-a1, on-a2/,
  );
});

test('explain prints a decision record, also while the platform is unavailable', async (t) => {
  const fixture = createCtlFixture();
  fixture.platform.fail({ kind: 'unavailable', detail: 'refused' });
  fixture.adminResponses[`${adminUrl}/debug/decisions/42`] = {
    requestId: '42',
    service: 'desk',
    institution: 'acme',
    className: 'counter',
    startedAt: '2026-01-02T03:04:05.000Z',
    steps: [{ atMs: 1.25, kind: 'bids', detail: { seen: [{ id: 'agent-1', usableInMs: 3 }] } }],
    outcome: 'served',
  };
  const { exitCode, output } = await fixture.run('explain', '42', '--admin', adminUrl);
  t.is(exitCode, 0);
  t.regex(output, /42: served/);
  t.regex(output, /1\.3 ms {2}bids: seen \[id agent-1 usable in ms 3\]/);
  t.is((await fixture.run('explain', '43', '--admin', adminUrl)).exitCode, 1);
  t.is((await fixture.run('explain', '43')).exitCode, 2);
});

// Without --admin, the admin addresses come from the list of instances. An instance that lists none is not queried.
test('status and explain query the listed processes', async (t) => {
  const fixture = createCtlFixture();
  acceptDesk(fixture);
  const listed = { kind: 'entry', dataCentre: 'north', state: 'live' } as const;
  const innerAddress = 'http://127.0.0.1:9101';
  fixture.platform.addInstance({
    ...listed,
    id: 'entry-1',
    innerAddress,
    adminAddress: adminUrl,
  });
  fixture.platform.addInstance({ ...listed, id: 'entry-2', innerAddress });
  fixture.adminResponses[`${adminUrl}/debug/config`] = {
    instanceId: 'entry-1',
    dataCentre: 'north',
    generations: { desk: 7 },
  };
  fixture.adminResponses[`${adminUrl}/debug/decisions/42`] = {
    requestId: '42',
    service: 'desk',
    institution: 'acme',
    className: 'counter',
    startedAt: '2026-01-02T03:04:05.000Z',
    steps: [],
    outcome: 'served',
  };
  const status = await fixture.run('status', 'desk');
  t.regex(status.output, /in force: at 1 of 1 processes that answered/);
  t.regex((await fixture.run('explain', '42')).output, /42: served/);
});
