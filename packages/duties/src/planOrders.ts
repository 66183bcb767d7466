/**
 * The next orders that bring a service's workers toward its document. Pure, and made from nothing but
 * what the workers report, so that any holder continues where another one died.
 */
import type { ServiceDocument } from '@bluebellhitch/document';
import type { EngineOrder, WorkerRole, WorkerState } from '@bluebellhitch/protocol';
import { assertNever, invariant } from '@bluebellhitch/shared';
import { assignRoles, type RoleChanges } from './roleAssignment';
import { isOrderable, isServing, type OrderableWorker, type WorkerView } from './workerView';

export interface PlanOrdersOptions {
  document: ServiceDocument;
  workers: readonly WorkerView[];
  /** Absent: roles stay as they are. */
  wantedPrefillWorkers?: number;
  /** Loads of this service from the weight store at once. */
  maxConcurrentLoads: number;
}

export interface PlannedOrder {
  instanceId: string;
  order: EngineOrder;
}

export interface OrderPlan {
  /** At most one for each worker. */
  orders: PlannedOrder[];
  /** Workers that need an order, but must wait for the bounds. */
  waitingCount: number;
}

interface Candidate extends PlannedOrder {
  serving: boolean;
}

interface Bounds {
  /** Workers that may still be taken out of service. */
  unavailable: number;
  loads: number;
}

export function planOrders(options: PlanOrdersOptions): OrderPlan {
  const { document, workers } = options;
  const candidates = findCandidates(options);
  const limit = unavailableLimit(document, workers.length);
  const outCount = workers.filter((worker) => !isServing(worker, document)).length;
  const bounds: Bounds = {
    unavailable: limit - outCount,
    loads: options.maxConcurrentLoads - workers.filter(({ busy }) => busy).length,
  };
  const chosen = candidates.filter((candidate) => takeFromBounds(candidate, bounds));
  const takenOut = chosen.filter(
    ({ serving, order }) => serving && takesOutOfService(order),
  ).length;
  invariant(takenOut === 0 || outCount + takenOut <= limit, 'a rollout keeps to its bound');
  return {
    orders: chosen.map(({ instanceId, order }) => ({ instanceId, order })),
    waitingCount: candidates.length - chosen.length,
  };
}

/** At least one, because otherwise a service with few workers could never change. */
export function unavailableLimit(document: ServiceDocument, workerCount: number): number {
  return Math.max(1, Math.floor(document.rollout.maxUnavailableShare * workerCount));
}

/** Workers that serve nobody come first: bringing them up costs no capacity. */
function findCandidates(options: PlanOrdersOptions): Candidate[] {
  const { document, workers, wantedPrefillWorkers } = options;
  const orderable = workers.filter(isOrderable);
  const roles: RoleChanges =
    wantedPrefillWorkers === undefined ? new Map() : assignRoles(orderable, wantedPrefillWorkers);
  return orderable
    .filter(({ busy, deferred }) => !busy && !deferred)
    .flatMap((worker) => candidateFor(worker, document, roles.get(worker.instanceId)))
    .sort(
      (left, right) =>
        Number(left.serving) - Number(right.serving) ||
        left.instanceId.localeCompare(right.instanceId),
    );
}

function candidateFor(
  worker: OrderableWorker,
  document: ServiceDocument,
  role: WorkerRole | undefined,
): Candidate[] {
  const order = nextOrder(worker.state, document, role);
  const { instanceId } = worker;
  const serving = isServing(worker, document);
  return order === undefined ? [] : [{ instanceId, order, serving }];
}

/** Models before adapters, which need them; the role last, so that a worker changes it fully loaded. */
function nextOrder(
  state: WorkerState,
  document: ServiceDocument,
  role: WorkerRole | undefined,
): EngineOrder | undefined {
  return (
    missingModel(state, document) ??
    missingAdapter(state, document) ??
    surplusAdapter(state, document) ??
    (role === undefined || role === state.role ? undefined : { kind: 'set-role', role })
  );
}

function missingModel(state: WorkerState, { models }: ServiceDocument): EngineOrder | undefined {
  const missing = models.find(
    ({ name, version }) =>
      !state.models.some((loaded) => loaded.model === name && loaded.version === version),
  );
  return missing && { kind: 'load-model', model: missing.name, version: missing.version };
}

function missingAdapter(state: WorkerState, document: ServiceDocument): EngineOrder | undefined {
  const missing = wantedAdapters(document).find(
    (wanted) => !includesAdapter(state.adapters, wanted),
  );
  return missing && { kind: 'load-adapter', ...missing };
}

function surplusAdapter(state: WorkerState, document: ServiceDocument): EngineOrder | undefined {
  const wanted = wantedAdapters(document);
  const surplus = state.adapters.find((loaded) => !includesAdapter(wanted, loaded));
  return surplus && { kind: 'unload-adapter', ...surplus };
}

type AdapterName = WorkerState['adapters'][number];

function wantedAdapters({ models }: ServiceDocument): AdapterName[] {
  return models.flatMap(({ name, adapters }) =>
    adapters.map((adapter) => ({ model: name, adapter })),
  );
}

function includesAdapter(
  adapters: readonly AdapterName[],
  { model, adapter }: AdapterName,
): boolean {
  return adapters.some((other) => other.model === model && other.adapter === adapter);
}

/** Whether the order fits; what it uses is taken off the bounds. */
function takeFromBounds({ order, serving }: Candidate, bounds: Bounds): boolean {
  const unavailable = serving && takesOutOfService(order) ? 1 : 0;
  const loads = usesWeightStore(order) ? 1 : 0;
  // A service below its bound already (workers died) may still get orders that cost no capacity.
  const fits = (unavailable === 0 || bounds.unavailable >= 1) && (loads === 0 || bounds.loads >= 1);
  if (fits) {
    bounds.unavailable -= unavailable;
    bounds.loads -= loads;
  }
  return fits;
}

function takesOutOfService(order: EngineOrder): boolean {
  switch (order.kind) {
    case 'load-model':
    case 'set-role':
      return true;
    case 'load-adapter':
    case 'unload-adapter':
      return false;
    default:
      return assertNever(order);
  }
}

function usesWeightStore(order: EngineOrder): boolean {
  return order.kind === 'load-model' || order.kind === 'load-adapter';
}
