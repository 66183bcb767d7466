import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { Lease, LeaseState } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { drainLeases } from '../src/drainLeases';

const timeoutMs = 30_000;

function fakeTable(state: LeaseState) {
  const leases = [{ attemptId: 'a-1', state } as Lease];
  return { leases: () => leases, end: () => leases.pop() };
}

// The engine dies, and then its agent is stopped. Every cancellation fails, so that the lease of the request
// that died with the engine stays in release. No caller waits for it, but without a separate limit the agent
// would wait for the whole drain timeout (a minute in the quickstart) before it exits.
test.serial('a lease in release does not delay the stop for the whole timeout', async (t) => {
  const clock = FakeTimers.install();
  const table = fakeTable('releasing');
  const startedAtMs = monotonicNowMs();
  const drained = drainLeases(table, { release: () => undefined }, timeoutMs);
  await clock.runAllAsync();
  t.true(await drained);
  t.true(monotonicNowMs() - startedAtMs <= 2_500);
  clock.uninstall();
});

test.serial('waits for a running stream, and releases it after the timeout', async (t) => {
  const clock = FakeTimers.install();
  const table = fakeTable('streaming');
  const released: string[] = [];
  const startedAtMs = monotonicNowMs();
  const drained = drainLeases(
    table,
    { release: (attemptId) => released.push(attemptId) },
    timeoutMs,
  );
  await clock.tickAsync(timeoutMs - 100);
  t.deepEqual(released, []);
  await clock.runAllAsync();
  t.false(await drained);
  t.deepEqual(released, ['a-1']);
  t.true(monotonicNowMs() - startedAtMs >= timeoutMs);
  clock.uninstall();
});
