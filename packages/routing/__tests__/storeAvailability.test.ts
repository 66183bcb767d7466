/** Which failures of calls count as an outage of the store. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import {
  objectKinds,
  type ObjectApi,
  type PlatformError,
  type WatchReply,
} from '@bluebellhitch/objects';
import {
  createObjectFollower,
  createStoreAnswers,
  type StoreAnswers,
  type StoreReturn,
} from '@bluebellhitch/routing';

const waitMs = 1_800;
const rejected: PlatformError = { kind: 'unavailable', detail: 'status 503' };
const unchanged: WatchReply = { events: [], cursor: '1', compacted: false };

interface Fixture {
  clock: Clock;
  answers: StoreAnswers;
  /** Fails the watches that wait, as a store does that cuts them off. */
  cut(): void;
  /** Calls that start from now on fail with this error after that time; undefined: they are answered. */
  setFailure(failure?: { error: PlatformError; afterMs: number }): void;
  causes: StoreReturn[];
}

/** Runs the test with a follower that has completed its list and waits for changes. */
async function follow(during: (fixture: Fixture) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  const waiting = new Set<() => void>();
  let failure: Parameters<Fixture['setFailure']>[0];
  const watch = (_kind: unknown, _cursor: unknown, watchMs: number) =>
    new ResultAsync(
      new Promise<Result<WatchReply, PlatformError>>((resolve) => {
        const fail = (error: PlatformError) => () => resolve(err(error));
        if (failure === undefined) {
          setTimeout(() => resolve(ok(unchanged)), watchMs);
          waiting.add(fail({ kind: 'unavailable', detail: 'other side closed' }));
        } else {
          setTimeout(fail(failure.error), failure.afterMs);
        }
      }),
    );
  const list = () => okAsync({ objects: [], cursor: '1' });
  const answers = createStoreAnswers();
  const causes: StoreReturn[] = [];
  try {
    const follower = createObjectFollower({
      store: { list, watch } as unknown as ObjectApi,
      kind: objectKinds.backendServer,
      watchWaitMs: () => waitMs,
      answers,
      onListed: () => undefined,
      onEvent: () => undefined,
      onUnavailable: () => undefined,
      onAvailable: (cause) => causes.push(cause),
      random: () => 0,
    });
    follower.start();
    await clock.tickAsync(100);
    await during({
      clock,
      answers,
      causes,
      cut() {
        waiting.forEach((fail) => fail());
        waiting.clear();
      },
      setFailure(next) {
        failure = next;
      },
    });
    failure = undefined;
    const stopped = follower.stop();
    await clock.tickAsync(10_000);
    await stopped;
  } finally {
    clock.uninstall();
  }
}

const kindsOf = (causes: readonly StoreReturn[]) => causes.map(({ kind }) => kind);

test.serial('watches that are cut off are no outage, however often', async (t) => {
  // A store in service may cut off a watch that waits. Servers that it removed just after that got requests for longer
  // than the drain time, as if their entries might have expired in an outage.
  await follow(async ({ clock, cut, causes }) => {
    for (let round = 0; round < 5; round += 1) {
      cut();
      await clock.tickAsync(400);
    }
    t.deepEqual(kindsOf(causes), ['first-answer', ...Array<string>(5).fill('failed-calls')]);
  });
});

test.serial('a call that fails after a watch was cut off is no outage', async (t) => {
  // The retry may use an idle connection that the store closes at that moment.
  await follow(async ({ clock, cut, setFailure, causes }) => {
    setFailure({ error: rejected, afterMs: 10 });
    cut();
    await clock.tickAsync(100);
    setFailure();
    await clock.tickAsync(1_000);
    t.deepEqual(kindsOf(causes), ['first-answer', 'failed-calls']);
  });
});

test.serial('calls that are turned away for their rate are no outage', async (t) => {
  // A store in service does that, for as long as the routers call it too often.
  await follow(async ({ clock, cut, setFailure, causes }) => {
    setFailure({ error: { kind: 'rate-limited', retryAfterMs: 0 }, afterMs: 10 });
    cut();
    await clock.tickAsync(5_000);
    setFailure();
    await clock.tickAsync(1_000);
    t.deepEqual(kindsOf(causes), ['first-answer', 'failed-calls']);
  });
});

test.serial('calls that fail for a second are an outage, from the first failure on', async (t) => {
  // Entries that expired in an outage would be removed at once, and requests refused although all servers are running.
  await follow(async ({ clock, cut, setFailure, causes }) => {
    setFailure({ error: rejected, afterMs: 10 });
    cut();
    await clock.tickAsync(1_000);
    setFailure();
    await clock.tickAsync(1_000);
    t.deepEqual(kindsOf(causes), ['first-answer', 'outage']);
  });
});

test.serial('a call that gets no response is an outage', async (t) => {
  // The store, or the link to it, was silent: no connection is closed, and only the time-out shows it.
  await follow(async ({ clock, cut, setFailure, causes }) => {
    setFailure({ error: rejected, afterMs: 1_500 });
    cut();
    await clock.tickAsync(200);
    setFailure();
    await clock.tickAsync(3_000);
    t.deepEqual(kindsOf(causes), ['first-answer', 'outage']);
  });
});

test.serial('a call that gets no response while others are answered is no outage', async (t) => {
  // One response may be lost although the store is in service, as the answers to other calls show.
  await follow(async ({ clock, answers, cut, setFailure, causes }) => {
    setFailure({ error: rejected, afterMs: 1_500 });
    cut();
    await clock.tickAsync(200);
    setFailure();
    await clock.tickAsync(1_000);
    answers.note();
    await clock.tickAsync(2_000);
    t.deepEqual(kindsOf(causes), ['first-answer', 'failed-calls']);
  });
});

test.serial('a store that fails many of its calls is in an outage', async (t) => {
  // Heartbeats of servers fail as well, so entries expire. An answer now and then does not mean that the store is in
  // service.
  await follow(async ({ clock, cut, setFailure, causes }) => {
    for (let round = 0; round < 6; round += 1) {
      setFailure({ error: rejected, afterMs: 10 });
      cut();
      await clock.tickAsync(150);
      setFailure();
      await clock.tickAsync(450);
    }
    t.true(kindsOf(causes).includes('outage'));
  });
});
