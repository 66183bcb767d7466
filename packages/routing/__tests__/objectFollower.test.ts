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

/** A store whose nth watch gets the reply that the test returns for n. */
function scriptedStore(
  replyTo: (watch: number) => 'fail' | WatchReply,
): Script & { api: ObjectApi } {
  const script: Script = { lists: 0, watchWaitsMs: [], log: [] };
  const api = {
    list() {
      script.lists += 1;
      return okAsync({ objects: [], cursor: '1' });
    },
    watch(_kind: unknown, _cursor: unknown, waitMs: number, signal?: AbortSignal) {
      script.watchWaitsMs.push(waitMs);
      const answered = replyTo(script.watchWaitsMs.length);
      const result: Result<WatchReply, PlatformError> =
        answered === 'fail' ? err({ kind: 'unavailable', detail: 'down' }) : ok(answered);
      return new ResultAsync(
        new Promise<typeof result>((resolve) => {
          setTimeout(() => resolve(result), answered === 'fail' ? 10 : waitMs);
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
      onUnavailable: () => script.log.push('lost'),
      onAvailable: () => script.log.push('back'),
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
  // Otherwise requests are sent to a server that has left. If the first watch after the outage waits for an event, the
  // removal that it returns coincides with the recovery and is delayed like one caused by the outage. The recovery must
  // therefore be detected separately.
  const script = scriptedStore((watch) => (watch === 2 ? 'fail' : reply()));
  await follow(script, 3_000);
  t.deepEqual(script.watchWaitsMs.slice(0, 4), [1_800, 1_800, 1, 1_800]);
  t.deepEqual(script.log.slice(0, 4), ['back', 'listed', 'lost', 'back']);
});

test.serial('a compacted history is followed by a new list', async (t) => {
  const script = scriptedStore((watch) => reply({ compacted: watch === 1 }));
  await follow(script, 3_000);
  t.true(script.lists >= 2);
});

test.serial(
  'a watch on a dead connection is aborted once a peer has seen a newer revision',
  async (t) => {
    // Otherwise callers get 404 for a new route: the connection of a long watch is dead, while another router has seen
    // the new configuration and reports its revision.
    const script = scriptedStore(() => reply());
    await follow(script, 500, (follower) => follower.notePeerRevision(9));
    t.deepEqual(script.watchWaitsMs.slice(0, 2), [1_800, 1]);
    t.false(script.log.includes('lost'));
  },
);

test.serial('a peer revision that is already known changes nothing', async (t) => {
  const script = scriptedStore(() => reply());
  await follow(script, 500, (follower) => follower.notePeerRevision(0));
  t.deepEqual(script.watchWaitsMs, [1_800]);
});

test('a slow response is not aborted because peers have it already', async (t) => {
  // Otherwise callers of this router get 404 for new routes. On its slow link the large new configuration takes two
  // seconds. Peers with faster links report the newer revision every second; if the router aborted and restarted its
  // call each time, it would never receive the configuration.
  const slowMs = 2_000;
  const script = scriptedStore(() => reply());
  const waits: number[] = [];
  let isSlow = false;
  script.api.watch = (_kind: unknown, _cursor: unknown, waitMs: number, signal?: AbortSignal) => {
    waits.push(waitMs);
    const answered = isSlow ? reply({ cursor: '9', events: [putEvent(9)] }) : reply();
    return new ResultAsync(
      new Promise<Result<WatchReply, PlatformError>>((resolve) => {
        setTimeout(() => resolve(ok(answered)), isSlow ? slowMs : waitMs);
        signal?.addEventListener('abort', () =>
          resolve(err({ kind: 'unavailable', detail: 'aborted' })),
        );
      }),
    );
  };
  await follow(script, 4_000, (follower) => {
    isSlow = true;
    const reportRevision = () => {
      follower.notePeerRevision(9);
      if (script.log.includes('put')) {
        return;
      }
      setTimeout(reportRevision, 1_000);
    };
    reportRevision();
  });
  t.true(script.log.includes('put'), `calls: ${waits.join(', ')}`);
});

function putEvent(version: number): WatchReply['events'][number] {
  const kind = objectKinds.backendServer;
  return { kind: 'put', object: { kind, key: 'w1', version, value: {} } };
}
