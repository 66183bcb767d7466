/** The part of a bid that only the agent of a model engine can tell. */
import type { LeaseTable, PrefillBacklog } from '@bluebellhitch/decisions';
import type { Bid, WorkerRole } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { WorkEstimates } from './workEstimates';

export interface ModelBidOptions {
  kvAddress: string;
  kvRateBytesPerSecond: number;
  table: Pick<LeaseTable, 'totals'>;
  backlog: PrefillBacklog;
  estimates: Pick<WorkEstimates, 'slowStepMs'>;
  role: WorkerRole;
  /** KV cache of the prompt in question. */
  promptKvBytes: number;
}

export type ModelBid = Pick<
  Bid,
  'kvAddress' | 'prefillWaitMs' | 'prefillMsPerToken' | 'slowStepMs' | 'exportMs'
>;

const msPerSecond = 1000;

export function describeModel(options: ModelBidOptions): ModelBid {
  const { kvAddress, backlog, estimates, role } = options;
  return {
    kvAddress,
    prefillWaitMs: backlog.waitMs(monotonicNowMs()),
    prefillMsPerToken: backlog.msPerToken(),
    slowStepMs: estimates.slowStepMs(),
    exportMs: role === 'prefill' ? exportMs(options) : undefined,
  };
}

/** All that is held at a prefill worker has to cross its link before a new prompt's cache. */
function exportMs({ table, promptKvBytes, kvRateBytesPerSecond }: ModelBidOptions): number {
  const { heldKvBytes, promisedKvBytes } = table.totals();
  const bytes = promptKvBytes + heldKvBytes + promisedKvBytes;
  return (bytes / kvRateBytesPerSecond) * msPerSecond;
}
