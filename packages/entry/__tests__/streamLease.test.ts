import { setImmediate } from 'node:timers/promises';
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

function createFixture(mayWait: () => boolean, hasReplacement = async () => false) {
  let deliveredCount = 0;
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
    progress: () => deliveredCount,
    hasReplacement,
    onEnded: () => {
      endedCount += 1;
    },
  });
  const deliver = () => {
    deliveredCount += 1;
  };
  return { share, renewed, lease, deliver, endedCount: () => endedCount };
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

/** Lets the answer to a question for another server be taken. */
const settled = () => setImmediate();

test('a stream ends at the silence of its agent where another server has a bid for it', async (t) => {
  // Otherwise the callers of an agent that has lost power would wait although other servers could go on.
  const { share, renewed, endedCount } = createFixture(
    () => true,
    async () => true,
  );
  share.lapse(lapseCauses.unanswered);
  await settled();
  t.is(endedCount(), 1);
  t.deepEqual(
    renewed.map((one) => one.isReleased()),
    [true],
  );
});

test('a stream does not end before another server has a bid for it, nor once its agent goes on', async (t) => {
  // Two agents that were silent together lost all streams: each was ended while nobody could take it.
  const answers: ((hasBid: boolean) => void)[] = [];
  const { share, renewed, lease, deliver, endedCount } = createFixture(
    () => true,
    () =>
      new Promise((resolve) => {
        answers.push(resolve);
      }),
  );
  share.lapse(lapseCauses.unanswered);
  renewed[0]?.lapse(lapseCauses.unanswered);
  await settled();
  t.is(endedCount(), 0);
  t.is(answers.length, 1);
  deliver();
  answers[0]?.(true);
  await settled();
  t.is(endedCount(), 0);
  renewed[1]?.lapse(lapseCauses.unanswered);
  t.is(answers.length, 2);
  answers[1]?.(true);
  await settled();
  t.is(endedCount(), 1);
  lease.stop();
});

test('a stream that has delivered nothing ends with its lease', (t) => {
  // Nothing is lost then, and the request may be served elsewhere in time.
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
    progress: () => 0,
    hasReplacement: async () => false,
    onEnded: () => {
      endedCount += 1;
    },
  });
  t.is(endedCount, 1);
});
