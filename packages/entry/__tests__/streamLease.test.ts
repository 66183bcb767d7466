import test from 'ava';
import { lapseCauses, type HeartbeatShare } from '../src/heartbeats';
import { watchStreamLease } from '../src/streamLease';

interface TestShare extends HeartbeatShare {
  lapse(cause: string): void;
  isReleased(): boolean;
}

function createShare(): TestShare {
  const controller = new AbortController();
  let isReleased = false;
  return {
    lapsed: controller.signal,
    isCurrent: () => !controller.signal.aborted,
    release() {
      isReleased = true;
    },
    lapse: (cause) => controller.abort(cause),
    isReleased: () => isReleased,
  };
}

function createFixture(mayWait: () => boolean) {
  const share = createShare();
  const renewed: TestShare[] = [];
  let endedCount = 0;
  const lease = watchStreamLease({
    share,
    renewShare() {
      const next = createShare();
      renewed.push(next);
      return next;
    },
    mayWait,
    onEnded: () => {
      endedCount += 1;
    },
  });
  return { share, renewed, lease, endedCount: () => endedCount };
}

test('a stream that cannot go on elsewhere outlives the silence of its agent, with new heartbeats', (t) => {
  // A sound agent may be silent for longer than the heartbeats are waited for; its responses were cut then.
  const { share, renewed, lease, endedCount } = createFixture(() => true);
  share.lapse(lapseCauses.unanswered);
  renewed[0]?.lapse(lapseCauses.unanswered);
  t.is(endedCount(), 0);
  t.deepEqual(
    renewed.map((one) => one.isReleased()),
    [true, false],
  );
  lease.stop();
  t.true(renewed[1]?.isReleased());
  renewed[1]?.lapse(lapseCauses.unanswered);
  t.is(endedCount(), 0);
  t.is(renewed.length, 2);
});

test('a stream ends with its lease where it may go on elsewhere', (t) => {
  // Otherwise the callers of an agent that has lost power would wait although other servers could go on.
  const { share, renewed, endedCount } = createFixture(() => false);
  share.lapse(lapseCauses.unanswered);
  t.is(endedCount(), 1);
  t.is(renewed.length, 0);
});

test('a stream ends with its lease when the agent has restarted', (t) => {
  // The run is lost then, whether or not its connection shows it.
  const { share, renewed, endedCount } = createFixture(() => true);
  share.lapse(lapseCauses.unanswered);
  renewed[0]?.lapse(lapseCauses.restarted);
  t.is(endedCount(), 1);
});

test('a lease that has ended before the stream ends it at once', (t) => {
  const share = createShare();
  share.lapse(lapseCauses.unanswered);
  let endedCount = 0;
  watchStreamLease({
    share,
    renewShare: createShare,
    mayWait: () => false,
    onEnded: () => {
      endedCount += 1;
    },
  });
  t.is(endedCount, 1);
});
