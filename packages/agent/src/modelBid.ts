/** The fields of a bid that only the agent of a model engine fills in. */
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
  /** Size of the KV cache of the prompt that the bid is for. */
  promptKvBytes: number;
}

export type ModelBid = Pick<
  Bid,
  'kvAddress' | 'prefillWaitMs' | 'prefillMsPerToken' | 'slowStepMs' | 'exportMs'
>;

const msPerSecond = 1000;

export function createModelBid(options: ModelBidOptions): ModelBid {
  const { kvAddress, backlog, estimates, role } = options;
  return {
    kvAddress,
    prefillWaitMs: backlog.waitMs(monotonicNowMs()),
    prefillMsPerToken: backlog.msPerToken(),
    slowStepMs: estimates.slowStepMs(),
    exportMs: role === 'prefill' ? estimateExportMs(options) : undefined,
  };
}

/** The new prompt's KV cache crosses the prefill worker's link after all that the worker holds or has promised. */
function estimateExportMs({ table, promptKvBytes, kvRateBytesPerSecond }: ModelBidOptions): number {
  const { heldKvBytes, promisedKvBytes } = table.totals();
  const bytes = promptKvBytes + heldKvBytes + promisedKvBytes;
  return (bytes / kvRateBytesPerSecond) * msPerSecond;
}
