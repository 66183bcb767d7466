/** Waits for running work to end before the process stops. */
import type { LeaseTable } from '@bluebellhitch/decisions';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { LeaseKeeper } from './leaseKeeper';

const checkMs = 20;
/** Time for the last cancellations to reach the engine. */
const cancelGraceMs = 500;

/** Resolves once no lease is left; with false where `boundMs` came first and the rest was given up. */
export async function drainLeases(
  table: Pick<LeaseTable, 'leases'>,
  keeper: Pick<LeaseKeeper, 'giveUp'>,
  boundMs: number,
): Promise<boolean> {
  const isDrained = await untilNoLease(table, boundMs);
  if (!isDrained) {
    table.leases().forEach(({ attemptId }) => keeper.giveUp(attemptId));
    await untilNoLease(table, cancelGraceMs);
  }
  return isDrained;
}

async function untilNoLease(table: Pick<LeaseTable, 'leases'>, limitMs: number): Promise<boolean> {
  const limitAtMs = monotonicNowMs() + limitMs;
  while (table.leases().length > 0 && monotonicNowMs() < limitAtMs) {
    await delay(checkMs);
  }
  return table.leases().length === 0;
}
