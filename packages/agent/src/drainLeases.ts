/** Waits for running work to end before the process stops. */
import type { LeaseTable } from '@bluebellhitch/decisions';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { LeaseKeeper } from './leaseKeeper';

type Leases = ReturnType<LeaseTable['leases']>;

const checkMs = 20;
/** Time for the last cancellations to reach the engine. */
const cancelGraceMs = 2_000;

/** Resolves once no work is left; with false where `boundMs` came first and the rest was given up. */
export async function drainLeases(
  table: Pick<LeaseTable, 'leases'>,
  keeper: Pick<LeaseKeeper, 'giveUp'>,
  boundMs: number,
): Promise<boolean> {
  const isDrained = await untilNone(() => runningWork(table.leases()), boundMs);
  runningWork(table.leases()).forEach(({ attemptId }) => keeper.giveUp(attemptId));
  // An engine that died answers no cancel, and its leases would stay in release for good. No caller
  // waits for them; an engine that lives is cleaned up by the next agent's first audit.
  await untilNone(table.leases, cancelGraceMs);
  return isDrained;
}

function runningWork(leases: Leases): Leases {
  return leases.filter(({ state }) => state !== 'releasing');
}

async function untilNone(remaining: () => Leases, limitMs: number): Promise<boolean> {
  const limitAtMs = monotonicNowMs() + limitMs;
  while (remaining().length > 0 && monotonicNowMs() < limitAtMs) {
    await delay(checkMs);
  }
  return remaining().length === 0;
}
