/** A worker of a model service as the order reconciler sees it. */
import type { ServiceDocument } from '@bluebellhitch/document';
import type { WorkerState } from '@bluebellhitch/protocol';

export interface WorkerView {
  instanceId: string;
  dataCentre: string;
  /** Reported by the worker; absent if it did not respond. */
  state?: WorkerState;
  /** Whether it is leaving according to the list of instances or the document. */
  leaving: boolean;
  /** Whether an order may still be running there. */
  busy: boolean;
  /** Whether it gets no order for now because a recent one failed. */
  deferred: boolean;
}

/** A worker that responds and is not leaving, so that it can be sent orders. */
export type OrderableWorker = WorkerView & { state: WorkerState };

export function isOrderable(worker: WorkerView): worker is OrderableWorker {
  return worker.state !== undefined && !worker.leaving && !worker.state.leaving;
}

/** Whether the worker can serve requests now, with any version of one of the service's models. */
export function isServing(worker: WorkerView, document: ServiceDocument): boolean {
  return (
    isOrderable(worker) &&
    !worker.busy &&
    document.models.some(({ name }) => worker.state.models.some(({ model }) => model === name))
  );
}
