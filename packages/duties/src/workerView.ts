/** A worker of a model service as the order holder sees it. */
import type { ServiceDocument } from '@bluebellhitch/document';
import type { WorkerState } from '@bluebellhitch/protocol';

export interface WorkerView {
  instanceId: string;
  dataCentre: string;
  /** What the worker reported; absent where it did not answer. */
  state?: WorkerState;
  /** The instance list or the document says that it leaves. */
  leaving: boolean;
  /** An order may still be running there. */
  busy: boolean;
  /** An order failed there lately: it gets no other one yet. */
  deferred: boolean;
}

/** A worker that answers and stays, so that orders to it make sense. */
export type OrderableWorker = WorkerView & { state: WorkerState };

export function isOrderable(worker: WorkerView): worker is OrderableWorker {
  return worker.state !== undefined && !worker.leaving && !worker.state.leaving;
}

/** Whether the worker can answer requests of the service now, with whatever version. */
export function isServing(worker: WorkerView, document: ServiceDocument): boolean {
  return (
    isOrderable(worker) &&
    !worker.busy &&
    document.models.some(({ name }) => worker.state.models.some(({ model }) => model === name))
  );
}
