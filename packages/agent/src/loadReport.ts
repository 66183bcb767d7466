/** Creates the load hint that is sent with every reply. */
import type { LeaseTable } from '@bluebellhitch/decisions';
import type { LoadHint, WorkerRole } from '@bluebellhitch/protocol';
import type { Admission } from './admission';
import type { WorkEstimates } from './workEstimates';

export interface LoadReportOptions {
  table: Pick<LeaseTable, 'totals'>;
  admission: Pick<Admission, 'queuedCount' | 'usableInMs'>;
  estimates: Pick<WorkEstimates, 'stepMs' | 'prefillMsPerToken'>;
  role: WorkerRole;
  leaving: boolean;
}

export function reportLoad(options: LoadReportOptions): LoadHint {
  const { table, admission, estimates, role, leaving } = options;
  const { capacity, heldKvBytes, promisedKvBytes, grantedCount, endedCount } = table.totals();
  const typicalKvBytes = Math.ceil(capacity.kvBytes / Math.max(capacity.slots, 1));
  return {
    role,
    freeKvBytes: Math.max(0, capacity.kvBytes - heldKvBytes - promisedKvBytes),
    capacityKvBytes: capacity.kvBytes,
    activeCount: grantedCount - endedCount,
    queuedCount: admission.queuedCount(),
    queueWaitMs: admission.usableInMs(typicalKvBytes) ?? 0,
    stepMs: role === 'prefill' ? estimates.prefillMsPerToken() : estimates.stepMs(),
    leaving,
  };
}
