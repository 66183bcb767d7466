/** Waits for running work to end before the process stops. */
import type { LeaseTable } from '@bluebellhitch/decisions';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { LeaseReleaser } from './leaseReleaser';

type Leases = ReturnType<LeaseTable['leases']>;

const checkIntervalMs = 20;
/** Time allowed for the last cancellations to take effect in the engine. */
const cancelGraceMs = 2_000;

/** Resolves with true once no work is left; with false after `timeoutMs`, when the rest was released. */
export async function drainLeases(
  table: Pick<LeaseTable, 'leases'>,
  releaser: Pick<LeaseReleaser, 'release'>,
  timeoutMs: number,
): Promise<boolean> {
  const isDrained = await waitUntilEmpty(() => runningLeases(table.leases()), timeoutMs);
  runningLeases(table.leases()).forEach(({ attemptId }) => releaser.release(attemptId));
  // A dead engine never confirms a cancellation, so that its leases would stay in release indefinitely. No caller
  // waits for them; in a live engine, the next agent's first reconciliation cancels what is left.
  await waitUntilEmpty(table.leases, cancelGraceMs);
  return isDrained;
}

function runningLeases(leases: Leases): Leases {
  return leases.filter(({ state }) => state !== 'releasing');
}

async function waitUntilEmpty(remaining: () => Leases, timeoutMs: number): Promise<boolean> {
  const deadlineAtMs = monotonicNowMs() + timeoutMs;
  while (remaining().length > 0 && monotonicNowMs() < deadlineAtMs) {
    await delay(checkIntervalMs);
  }
  return remaining().length === 0;
}
