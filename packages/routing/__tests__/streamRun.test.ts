/** Runs of streams that are not begun: what they leave at engines. */
import test from 'ava';
import type { CallOutcome, BackendResponse } from '../src/backendApi';
import type { PlacementOutcome } from '../src/servers/decodePlacement';
import { createRunContest } from '../src/request/runContest';
import { runPlaced, type ActiveRun } from '../src/request/streamRun';
import { decodeServer } from './support/decodeServer';

const notSent: CallOutcome<BackendResponse> = {
  kind: 'not-run',
  cause: { kind: 'unreachable', detail: 'connection limit reached' },
};

/** A run at a slow engine, which prefills the prompt itself unless a faster one that is asked has room. */
function createFixture(onPlaceElsewhere: () => void = () => undefined) {
  const contest = createRunContest();
  const contender = contest.enter();
  const releasedIds: string[] = [];
  let runCount = 0;
  const place = ({ isImmediate = false }): Promise<PlacementOutcome> => {
    if (isImmediate) {
      onPlaceElsewhere();
      return Promise.resolve({ kind: 'no-capacity', retryAfterMs: 0 });
    }
    const reservation = { id: 'h-slow', server: decodeServer('slow'), tokens: 1 };
    const stream = { noteEmitted: () => undefined, release: () => undefined };
    return Promise.resolve({ kind: 'placed', placement: { reservation, stream } });
  };
  const nothing = () => undefined;
  const run = {
    ...{ contest, contender, signal: contender.signal, engine: {}, onSilent: nothing },
    size: { promptTokens: 1_000, maxOutputTokens: 10 },
    prefillStage: {
      run: () => Promise.resolve({ kind: 'at-decode' }),
      localMs: () => 1_000,
      expectedMs: () => 10,
    },
    relay: {
      ...{ eventCount: () => 0, lastEventId: nothing, softwareVersions: () => [] },
      ...{ onFirstEvent: nothing, isCallerBehind: () => false },
    },
    state: {
      ...{ request: { id: 'r1', arrivedAtMs: 0 }, service: { name: 's' }, priority: 1 },
      route: { name: 'long', targetLatencyMs: 900, targetGapMs: 300 },
      ...{ trail: [], sentCount: 0, endsAtMs: Infinity, failedServerIds: new Set() },
      ...{ isAccessGranted: () => true, mayRepeat: () => false, heldBackMs: nothing },
    },
    deps: {
      placement: { place },
      backend: {
        releaseReservation: ({ id }: { id: string }) => releasedIds.push(id),
        run() {
          runCount += 1;
          return Promise.resolve(notSent);
        },
      },
      pools: { usable: () => ['slow', 'fast'].map((id) => decodeServer(id)) },
      decodePaces: {
        slowness: (id: string) => (id === 'slow' ? 3 : 1),
        fastEnough: (servers: { id: string }[]) => servers.filter(({ id }) => id === 'fast'),
      },
      engineLoads: {
        localPrefillCount: () => 0,
        isUnresponsive: () => false,
        beginLocalPrefill: () => nothing,
      },
      directory: { get: (id: string) => decodeServer(id), hasRestarted: () => false },
      notices: { isAccepting: () => true },
      streamSizes: {
        ...{ tokensPerMs: () => 1, lengthShape: () => 1, emittedTokens: () => 1 },
        estimateStream: () => ({ promptTokens: 1_000, emittedTokens: 0, medianOutputTokens: 9 }),
      },
      metrics: { observePlacement: nothing, countSlowLocalPrefill: nothing },
    },
  } as unknown as ActiveRun;
  return { run, contest, releasedIds, runCount: () => runCount };
}

test('a run that is ended while a faster engine is looked for releases its memory', async (t) => {
  // Its end was noticed only as the call was about to be sent, and the memory stayed reserved until the engine's limit.
  const fixture = createFixture(() => fixture.contest.enter().claim());
  const outcome = await runPlaced(fixture.run);
  t.is(outcome.kind, 'not-run');
  t.is(fixture.runCount(), 0);
  t.deepEqual(fixture.releasedIds, ['h-slow']);
});

test('a run that could not be sent releases its memory', async (t) => {
  // All connections were in use, or the run was ended just before: the memory stayed reserved, and no run used it.
  const fixture = createFixture();
  const outcome = await runPlaced(fixture.run);
  t.deepEqual([outcome.kind, fixture.runCount()], ['not-run', 1]);
  t.deepEqual(fixture.releasedIds, ['h-slow']);
});
