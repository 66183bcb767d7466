import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import { createHeartbeats, lapseCauses } from '../src/heartbeats';
import { freeLoad } from './support/fakeAgents';

const address = 'http://agent-1';

function start() {
  const clock = FakeTimers.install({ now: 0 });
  const state = { count: 0, incarnation: 'agent-1-1', fails: false };
  const heartbeats = createHeartbeats({
    entryId: 'entry-1',
    entryIncarnation: 'entry-1-1',
    agents: {
      heartbeat: () => {
        state.count += 1;
        return state.fails
          ? errAsync({ kind: 'lost', detail: 'reset' })
          : okAsync({ incarnation: state.incarnation, heldAttempts: 1, load: freeLoad });
      },
    },
  });
  return { clock, state, heartbeats };
}

test.serial(
  'sends one heartbeat for all shares of an agent, and only while there is one',
  async (t) => {
    const { clock, state, heartbeats } = start();
    const first = heartbeats.share(address);
    const second = heartbeats.share(address);
    await clock.tickAsync(4_000);
    t.is(state.count, 10);
    first.release();
    first.release();
    await clock.tickAsync(400);
    t.is(state.count, 11);
    second.release();
    await clock.tickAsync(4_000);
    t.is(state.count, 11);
    t.deepEqual(heartbeats.addresses(), []);
    clock.uninstall();
  },
);

test.serial('aborts its shares when the agent has not replied for a lease duration', async (t) => {
  const { clock, state, heartbeats } = start();
  const share = heartbeats.share(address);
  state.fails = true;
  await clock.tickAsync(1_900);
  t.true(share.isCurrent());
  await clock.tickAsync(200);
  t.false(share.isCurrent());
  t.true(share.lapsed.aborted);
  t.is(share.lapsed.reason, lapseCauses.unanswered);
  clock.uninstall();
});

// The process is paused for longer than its leases last, so its timers do not run. When it resumes, its
// slot may serve another request already. The first check must detect this from the clock alone.
test.serial('a process that was paused treats its leases as lapsed', (t) => {
  const { clock, heartbeats } = start();
  const share = heartbeats.share(address);
  clock.setSystemTime(0);
  clock.jump(2_001);
  t.false(share.isCurrent());
  const fresh = heartbeats.share(address);
  t.true(fresh.isCurrent(), 'new work starts with new leases');
  clock.uninstall();
});

test.serial('an agent that restarted has lost the leases', async (t) => {
  const { clock, state, heartbeats } = start();
  const share = heartbeats.share(address);
  await clock.tickAsync(400);
  t.true(share.isCurrent());
  state.incarnation = 'agent-1-2';
  await clock.tickAsync(400);
  t.true(share.lapsed.aborted);
  t.is(share.lapsed.reason, lapseCauses.restarted);
  clock.uninstall();
});
