import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import {
  objectKinds,
  type ObjectApi,
  type PlatformError,
  type WatchReply,
} from '@bluebellhitch/objects';
import { createObjectFollower } from '@bluebellhitch/routing';

const reply = (over: Partial<WatchReply> = {}): WatchReply => ({
  events: [],
  cursor: '2',
  compacted: false,
  ...over,
});

interface Script {
  lists: number;
  watchWaitsMs: number[];
  log: string[];
}

/** A store whose watches answer as the test says, by their number. */
function scriptedStore(
  answer: (watch: number) => 'fail' | WatchReply,
): Script & { api: ObjectApi } {
  const script: Script = { lists: 0, watchWaitsMs: [], log: [] };
  const api = {
    list() {
      script.lists += 1;
      return okAsync({ objects: [], cursor: '1' });
    },
    watch(_kind: unknown, _cursor: unknown, waitMs: number) {
      script.watchWaitsMs.push(waitMs);
      const said = answer(script.watchWaitsMs.length);
      const result: Result<WatchReply, PlatformError> =
        said === 'fail' ? err({ kind: 'unavailable', detail: 'down' }) : ok(said);
      return new ResultAsync(
        new Promise<typeof result>((resolve) => {
          setTimeout(() => resolve(result), said === 'fail' ? 10 : waitMs);
        }),
      );
    },
  };
  return Object.assign(script, { api: api as unknown as ObjectApi });
}

async function follow(script: Script & { api: ObjectApi }, forMs: number): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const follower = createObjectFollower({
      store: script.api,
      kind: objectKinds.backendServer,
      watchWaitMs: 1_800,
      onListed: () => script.log.push('listed'),
      onEvent: ({ kind }) => script.log.push(kind),
      onLost: () => script.log.push('lost'),
      onBack: () => script.log.push('back'),
      random: () => 0,
    });
    follower.start();
    await clock.tickAsync(forMs);
    const stopped = follower.stop();
    await clock.tickAsync(10_000);
    await stopped;
  } finally {
    clock.uninstall();
  }
}

test.serial('the first watch after an outage does not wait', async (t) => {
  // A caller is sent to a server that left. The store was away; the watch that follows waits for an event
  // and its answer, a removal, is taken for the moment of the return, so that the removal is held back
  // for as long as after an outage. The return must be noticed by itself.
  const script = scriptedStore((watch) => (watch === 2 ? 'fail' : reply()));
  await follow(script, 3_000);
  t.deepEqual(script.watchWaitsMs.slice(0, 4), [1_800, 1_800, 1, 1_800]);
  t.deepEqual(script.log.slice(0, 4), ['back', 'listed', 'lost', 'back']);
});

test.serial('a dropped history is followed by a new list', async (t) => {
  const script = scriptedStore((watch) => reply({ compacted: watch === 1 }));
  await follow(script, 3_000);
  t.true(script.lists >= 2);
});
