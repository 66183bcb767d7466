import test from 'ava';
import { routeKinds } from '@bluebellhitch/routing';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { eventText } from '../src/serverSlots';
import { createDisruptions } from '../src/disruptions';
import { createFindings } from '../src/findings';
import { createLedger, type RequestOutcome, type SentRequest } from '../src/ledger';
import { createStreamVersionChecks, lastEventId } from '../src/streamVersionChecks';

/** The tests provoke violations, which the checks must report: a check that never fails would prove nothing. */
function createFixture() {
  const findings = createFindings(monotonicNowMs());
  const disruptions = createDisruptions({ contactMs: 0 });
  const ledger = createLedger({ onArrival: () => undefined });
  const checks = createStreamVersionChecks({
    ...{ ledger, findings, disruptions },
    engineCount: () => 2,
  });

  function play(id: string, end: RequestOutcome, resumes?: SentRequest['resumes']): void {
    const request = ledger.recordRequest({
      ...{ id, resumes, routerName: 'r1', routeName: 'again', routeKind: routeKinds.stream },
      ...{ isRepeatable: true, timeoutMs: 5_000, isProbe: false, isCrashing: false },
      shownKey: { key: 'k', workspaceName: 'w', givenAtMs: 0, takenAtMs: Infinity },
    });
    if (resumes !== undefined) {
      checks.onResumed(request);
    }
    request.end = end;
    request.endedAtMs = monotonicNowMs();
    checks.onEnded(request);
  }

  return { findings, checks, play };
}

function eventsOf(id: string, ...versions: string[]): string {
  return versions
    .map((version, index) => `id: ${index + 1}\ndata: ${eventText(id, index + 1, version)}\n\n`)
    .join('');
}

const broken = (body: string): RequestOutcome => ({ kind: 'broken', status: 200, body });
const refused: RequestOutcome = { kind: 'refused', status: 503 };
const resumesFirst = { streamId: 'q1', afterEvent: 1 };

test('a stream with events of two versions is found, in one response and over several', (t) => {
  const within = createFixture();
  within.play('q1', broken(eventsOf('q1', 'v1', 'v2')));
  t.is(within.findings.all()[0]?.promise, 'one-version');
  const over = createFixture();
  over.play('q1', broken(eventsOf('q1', 'v1')));
  over.play('q2', refused, resumesFirst);
  over.play('q3', broken(eventsOf('q3', 'v2')), resumesFirst);
  t.deepEqual(
    over.findings.all().map(({ promise, requestId }) => [promise, requestId]),
    [['one-version', 'q3']],
  );
});

test('streams of one version each are no finding, whatever an incomplete event says', (t) => {
  const { findings, play } = createFixture();
  play('q1', broken(`${eventsOf('q1', 'v1')}id: 2\ndata: q1 2 v2`));
  play('q2', broken(eventsOf('q2', 'v1')), resumesFirst);
  play('q3', broken(eventsOf('q3', 'v2')));
  t.deepEqual(findings.all(), []);
});

test('refusals of most of the streams that callers take up are found', (t) => {
  const { findings, checks, play } = createFixture();
  play('q1', broken(eventsOf('q1', 'v1')));
  Array.from({ length: 12 }, (_none, index) => play(`r${index}`, refused, resumesFirst));
  t.deepEqual(checks.checkAll(), { sent: 12, wentOn: 0 });
  t.is(findings.all()[0]?.promise, 'resumption');
});

test('events of a stream that its caller broke off count as well', (t) => {
  const { findings, play } = createFixture();
  play('q1', { kind: 'caller-left', status: 200, body: eventsOf('q1', 'v1') });
  play('q2', broken(eventsOf('q2', 'v2')), resumesFirst);
  t.is(findings.all()[0]?.promise, 'one-version');
});

test('a router that no process serves takes up nothing; one that accepts the connection must', (t) => {
  const { checks, play } = createFixture();
  const noAnswer = (detail: string): RequestOutcome => ({
    ...{ kind: 'no-answer', isNewConnection: true },
    detail,
  });
  play('q1', broken(eventsOf('q1', 'v1')));
  play('q2', noAnswer('connect ECONNREFUSED 127.0.0.1:8149'), resumesFirst);
  play('q3', noAnswer('read ECONNRESET'), resumesFirst);
  t.deepEqual(checks.checkAll(), { sent: 1, wentOn: 0 });
});

test('the last event of a response is the last complete one', (t) => {
  t.is(lastEventId(''), 0);
  t.is(lastEventId('id: 1\nda'), 0);
  t.is(lastEventId(`${eventsOf('q1', 'v1', 'v1')}id: 3\ndata: q1`), 2);
});
