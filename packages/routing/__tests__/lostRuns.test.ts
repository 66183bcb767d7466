import {
  createEngineLoads,
  createServerDirectory,
  unresponsiveCauses,
} from '@bluebellhitch/routing';
import { lostRunCauses, recordLostRun, type LostRun } from '../src/request/lostRuns';
import type { RequestState } from '../src/request/requestState';
import { decodeServer } from './support/decodeServer';
import { testWithFakeClock } from './support/fakeClockTest';

const state = {
  request: { id: 'r1', sharedParts: [] as unknown },
  identity: { fingerprint: () => 'f1', partFingerprints: [] },
  service: { name: 's' },
  sentCount: 1,
  furtherAttemptCount: 2,
  failedServerIds: new Set(['other']),
} as unknown as RequestState;

function createFixture() {
  const lines: Record<string, unknown>[] = [];
  const engineLoads = createEngineLoads();
  const deps = {
    engineLoads,
    directory: createServerDirectory(),
    metrics: { countLostRun: () => undefined },
    logger: {
      info: (_message: string, context: Record<string, unknown>) => lines.push(context),
    },
    quarantine: { noteLost: () => undefined },
  } as unknown as Parameters<typeof recordLostRun>[1];
  const record = (run: Partial<LostRun>) => {
    const cause = lostRunCauses.router;
    const server = decodeServer('e');
    recordLostRun({ state, server, startedAtMs: 0, cause, detail: 'given up', ...run }, deps);
    return lines.at(-1) ?? {};
  };
  return { engineLoads, record };
}

testWithFakeClock(
  'the line of a lost run tells for how long no event came, why its engine counts as unresponsive and what was tried',
  async (t, clock) => {
    // A router that gives up a run whose engine is sound can only be understood from what it knew at that moment.
    const { engineLoads, record } = createFixture();
    const startedAtMs = performance.now();
    clock.tick(500);
    engineLoads.noteUnresponsive('e', unresponsiveCauses.reportTimeout);
    clock.tick(700);
    const line = record({
      startedAtMs,
      firstEventAtMs: startedAtMs + 100,
      lastEventAtMs: startedAtMs + 400,
    });
    t.like(line, {
      durationMs: 1_200,
      writingMs: 1_100,
      silentMs: 800,
      sentCount: 1,
      furtherAttempts: 2,
    });
    t.deepEqual(line.failedServers, ['other']);
    t.like(line.unresponsive, { own: { cause: 'report-timeout', ageMs: 700 }, peers: [] });
    await Promise.resolve();
  },
);

testWithFakeClock(
  'without an event the silence of a lost run begins with its call',
  async (t, clock) => {
    const { record } = createFixture();
    const startedAtMs = performance.now();
    clock.tick(300);
    const line = record({ startedAtMs });
    t.is(line.silentMs, 300);
    t.is(line.writingMs, undefined);
    t.is(line.unresponsive, undefined);
    await Promise.resolve();
  },
);
