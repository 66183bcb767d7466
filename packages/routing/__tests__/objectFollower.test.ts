import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import {
  objectKinds,
  type ObjectApi,
  type PlatformError,
  type WatchReply,
} from '@bluebellhitch/objects';
import { createObjectFollower, type ObjectFollower } from '@bluebellhitch/routing';

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
    watch(_kind: unknown, _cursor: unknown, waitMs: number, signal?: AbortSignal) {
      script.watchWaitsMs.push(waitMs);
      const said = answer(script.watchWaitsMs.length);
      const result: Result<WatchReply, PlatformError> =
        said === 'fail' ? err({ kind: 'unavailable', detail: 'down' }) : ok(said);
      return new ResultAsync(
        new Promise<typeof result>((resolve) => {
          setTimeout(() => resolve(result), said === 'fail' ? 10 : waitMs);
          const aborted = { kind: 'unavailable', detail: 'aborted' } as const;
          signal?.addEventListener('abort', () => resolve(err(aborted)));
        }),
      );
    },
  };
  return Object.assign(script, { api: api as unknown as ObjectApi });
}

async function follow(
  script: Script & { api: ObjectApi },
  forMs: number,
  during: (follower: ObjectFollower) => void = () => undefined,
): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  try {
    const follower = createObjectFollower({
      store: script.api,
      kind: objectKinds.backendServer,
      watchWaitMs: () => 1_800,
      onListed: () => script.log.push('listed'),
      onEvent: ({ kind }) => script.log.push(kind),
      onLost: () => script.log.push('lost'),
      onBack: () => script.log.push('back'),
      random: () => 0,
    });
    follower.start();
    await clock.tickAsync(100);
    during(follower);
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

test.serial(
  'a watch whose connection went silent is given up once a peer has seen more',
  async (t) => {
    // A caller gets 404 for a route that was added. The connection of a long watch has gone silent; another
    // router has seen the new configuration and says so.
    const script = scriptedStore(() => reply());
    await follow(script, 500, (follower) => follower.noteRevisionElsewhere(9));
    t.deepEqual(script.watchWaitsMs.slice(0, 2), [1_800, 1]);
    t.false(script.log.includes('lost'));
  },
);

test.serial('a revision that is known already changes nothing', async (t) => {
  const script = scriptedStore(() => reply());
  await follow(script, 500, (follower) => follower.noteRevisionElsewhere(0));
  t.deepEqual(script.watchWaitsMs, [1_800]);
});

test('a long answer is not given up because other processes have it already', async (t) => {
  // Callers of this router would get 404 for new routes. Its link is thin and the new configuration large: the
  // answer takes two seconds. Peers with thicker links have it and say so each second; each time the router
  // would give its call up and begin anew, and never have the configuration.
  const slowMs = 2_000;
  const script = scriptedStore(() => reply());
  const waits: number[] = [];
  let isSlow = false;
  script.api.watch = (_kind: unknown, _cursor: unknown, waitMs: number, signal?: AbortSignal) => {
    waits.push(waitMs);
    const said = isSlow ? reply({ cursor: '9', events: [putOf(9)] }) : reply();
    return new ResultAsync(
      new Promise<Result<WatchReply, PlatformError>>((resolve) => {
        setTimeout(() => resolve(ok(said)), isSlow ? slowMs : waitMs);
        signal?.addEventListener('abort', () =>
          resolve(err({ kind: 'unavailable', detail: 'aborted' })),
        );
      }),
    );
  };
  await follow(script, 4_000, (follower) => {
    isSlow = true;
    const tell = () => {
      follower.noteRevisionElsewhere(9);
      if (script.log.includes('put')) {
        return;
      }
      setTimeout(tell, 1_000);
    };
    tell();
  });
  t.true(script.log.includes('put'), `calls: ${waits.join(', ')}`);
});

function putOf(version: number): WatchReply['events'][number] {
  const kind = objectKinds.backendServer;
  return { kind: 'put', object: { kind, key: 'w1', version, value: {} } };
}
