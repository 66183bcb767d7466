/**
 * Plans the next orders that bring a service's workers toward its document. Pure, and based only on what the workers
 * report, so that any holder can continue where another one died.
 */
import type { ServiceDocument } from '@bluebellhitch/document';
import type { EngineOrder, WorkerRole, WorkerState } from '@bluebellhitch/protocol';
import { assertNever, invariant } from '@bluebellhitch/shared';
import { assignRoles, type RoleChanges } from './roleAssignment';
import { isOrderable, isServing, type OrderableWorker, type WorkerView } from './workerView';

export interface PlanOrdersOptions {
  document: ServiceDocument;
  workers: readonly WorkerView[];
  /** Absent: roles do not change. */
  targetPrefillWorkers?: number;
  /** Concurrent loads of this service from the weight store. */
  maxConcurrentLoads: number;
}

export interface PlannedOrder {
  instanceId: string;
  order: EngineOrder;
}

export interface OrderPlan {
  /** At most one per worker. */
  orders: PlannedOrder[];
  /** Workers that need an order but exceed the budget for now. */
  waitingCount: number;
}

interface Candidate extends PlannedOrder {
  serving: boolean;
}

interface Budget {
  /** Workers that may still be taken out of service. */
  unavailable: number;
  loads: number;
}

export function planOrders(options: PlanOrdersOptions): OrderPlan {
  const { document, workers } = options;
  const candidates = findCandidates(options);
  const limit = unavailableLimit(document, workers.length);
  const unavailableCount = workers.filter((worker) => !isServing(worker, document)).length;
  const budget: Budget = {
    unavailable: limit - unavailableCount,
    loads: options.maxConcurrentLoads - workers.filter(({ busy }) => busy).length,
  };
  const selected = candidates.filter((candidate) => reserveBudget(candidate, budget));
  const takenOutCount = selected.filter(
    ({ serving, order }) => serving && takesOutOfService(order),
  ).length;
  invariant(
    takenOutCount === 0 || unavailableCount + takenOutCount <= limit,
    'a rollout stays within its limit of unavailable workers',
  );
  return {
    orders: selected.map(({ instanceId, order }) => ({ instanceId, order })),
    waitingCount: candidates.length - selected.length,
  };
}

/** Workers that may be out of service at once: at least one, or a service with few workers could never change. */
export function unavailableLimit(document: ServiceDocument, workerCount: number): number {
  return Math.max(1, Math.floor(document.rollout.maxUnavailableShare * workerCount));
}

/** Workers that are not serving come first: ordering them costs no capacity. */
function findCandidates(options: PlanOrdersOptions): Candidate[] {
  const { document, workers, targetPrefillWorkers } = options;
  const orderable = workers.filter(isOrderable);
  const roles: RoleChanges =
    targetPrefillWorkers === undefined ? new Map() : assignRoles(orderable, targetPrefillWorkers);
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

/** Models come before the adapters that need them; the role comes last, when the worker is fully loaded. */
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

/** Whether the order fits the budget; if so, deducts what it uses. */
function reserveBudget({ order, serving }: Candidate, budget: Budget): boolean {
  const unavailable = serving && takesOutOfService(order) ? 1 : 0;
  const loads = usesWeightStore(order) ? 1 : 0;
  // A service with too many workers out already (some died) still gets orders that cost no capacity.
  const fits = (unavailable === 0 || budget.unavailable >= 1) && (loads === 0 || budget.loads >= 1);
  if (fits) {
    budget.unavailable -= unavailable;
    budget.loads -= loads;
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
