import test from 'ava';
import {
  createEngineLoads,
  createRouterMetrics,
  unresponsiveCauses,
  type EngineLoad,
} from '@bluebellhitch/routing';
import { causeOfFailedReport } from '../src/servers/unresponsiveEngines';
import { testWithFakeClock } from './support/fakeClockTest';

const report: EngineLoad = {
  stage: 'decode',
  waiting: 0,
  running: 0,
  usedTokens: 0,
  totalTokens: 10_000,
  reservedTokens: 0,
  isBusyWithOrder: false,
  isDraining: false,
  orderCount: 0,
  runs: [],
};
const peerUse = (isSilent: boolean) => ({
  serverId: 'e',
  streams: [],
  prefillTokens: 0,
  ownPrompts: 1,
  isSilent,
});

testWithFakeClock(
  'the evidence tells what this router and its peers have seen of an engine, and how long ago',
  async (t, clock) => {
    const loads = createEngineLoads();
    t.is(loads.unresponsiveEvidence('e'), undefined);
    loads.report('e', report);
    t.is(loads.unresponsiveEvidence('e'), undefined);
    clock.tick(1_000);
    loads.noteUnresponsive('e', unresponsiveCauses.reportTimeout);
    clock.tick(200);
    loads.noteUnresponsive('e', unresponsiveCauses.unreachable);
    loads.setPeerUse('p', [peerUse(true)], false);
    loads.setPeerUse('q', [peerUse(false)], false);
    clock.tick(300);
    loads.noteContact('e');
    // The peer repeats its state; it has said the same for 350 ms.
    loads.setPeerUse('p', [peerUse(true)], true);
    clock.tick(50);
    t.deepEqual(loads.unresponsiveEvidence('e'), {
      own: { cause: 'report-timeout', ageMs: 550 },
      peers: [{ address: 'p', ageMs: 350 }],
      reportAgeMs: 1_550,
      contactAgeMs: 50,
    });
    loads.report('e', report);
    t.deepEqual(loads.unresponsiveEvidence('e')?.own, undefined);
    loads.setPeerUse('p', [peerUse(false)], false);
    t.is(loads.unresponsiveEvidence('e'), undefined);
    loads.setPeerUse('p', [peerUse(true)], false);
    t.is(loads.unresponsiveEvidence('e')?.peers[0]?.ageMs, 0);
    await Promise.resolve();
  },
);

testWithFakeClock(
  'a period without responses is announced at its begin and its end, by the router that asked',
  async (t, clock) => {
    const seen: unknown[] = [];
    const loads = createEngineLoads({
      onUnresponsive: (...begin) => seen.push(begin),
      onResponsive: (...end) => seen.push(end),
    });
    loads.setPeerUse('p', [peerUse(true)], false);
    loads.report('e', report);
    t.deepEqual(seen, []);
    loads.noteUnresponsive('e', unresponsiveCauses.reportTimeout);
    clock.tick(1_000);
    loads.noteUnresponsive('e', unresponsiveCauses.reportLost);
    loads.noteContact('e');
    clock.tick(400);
    loads.report('e', report);
    loads.report('e', report);
    t.deepEqual(seen, [
      ['e', 'report-timeout'],
      ['e', 1_400],
    ]);
    await Promise.resolve();
  },
);

test('the cause of a failed load report is told, and none where it was not sent', (t) => {
  const lost = (isOurs: boolean) =>
    causeOfFailedReport({ kind: 'lost', detail: 'no answer in time', isOurs });
  t.is(lost(true), unresponsiveCauses.reportTimeout);
  t.is(lost(false), unresponsiveCauses.reportLost);
  t.deepEqual(
    [
      { kind: 'unreachable', detail: 'connect ECONNREFUSED' } as const,
      { kind: 'rejected', status: 503 } as const,
      { kind: 'other-server' } as const,
      { kind: 'withheld' } as const,
    ].map((cause) => causeOfFailedReport({ kind: 'not-run', cause })),
    ['unreachable', 'report-rejected', 'other-server', undefined],
  );
});

test('periods without responses are counted by service, with their duration', async (t) => {
  const metrics = createRouterMetrics();
  metrics.countUnresponsivePeriod('models', unresponsiveCauses.reportTimeout);
  metrics.observeUnresponsivePeriod('models', 1_200);
  const text = await metrics.render();
  const periods =
    'bluebell_unresponsive_engine_periods_total{service="models",cause="report-timeout"} 1';
  t.true(text.includes(periods));
  t.true(text.includes('bluebell_unresponsive_engine_seconds_sum{service="models"} 1.2'));
  t.true(text.includes('bluebell_unresponsive_engine_seconds_bucket{le="1",service="models"} 0'));
  t.true(text.includes('bluebell_unresponsive_engine_seconds_bucket{le="1.5",service="models"} 1'));
});
