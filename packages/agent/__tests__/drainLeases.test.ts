import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { Lease, LeaseState } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { drainLeases } from '../src/drainLeases';

const boundMs = 30_000;

function fakeTable(state: LeaseState) {
  const leases = [{ attemptId: 'a-1', state } as Lease];
  return { leases: () => leases, end: () => leases.pop() };
}

// The engine dies, and its agent is told to stop. Every cancel fails, so that the lease of the request
// that died with the engine stays in release. No caller waits for it any more, but the agent would wait
// for the whole drain bound (a minute in the quickstart) before it exits.
test.serial('a lease in release does not hold up the stop for the whole bound', async (t) => {
  const clock = FakeTimers.install();
  const table = fakeTable('releasing');
  const startedAtMs = monotonicNowMs();
  const drained = drainLeases(table, { giveUp: () => undefined }, boundMs);
  await clock.runAllAsync();
  t.true(await drained);
  t.true(monotonicNowMs() - startedAtMs <= 2_500);
  clock.uninstall();
});

test.serial('a running stream is waited for, and given up at the bound', async (t) => {
  const clock = FakeTimers.install();
  const table = fakeTable('streaming');
  const givenUp: string[] = [];
  const startedAtMs = monotonicNowMs();
  const drained = drainLeases(table, { giveUp: (attemptId) => givenUp.push(attemptId) }, boundMs);
  await clock.tickAsync(boundMs - 100);
  t.deepEqual(givenUp, []);
  await clock.runAllAsync();
  t.false(await drained);
  t.deepEqual(givenUp, ['a-1']);
  t.true(monotonicNowMs() - startedAtMs >= boundMs);
  clock.uninstall();
});
