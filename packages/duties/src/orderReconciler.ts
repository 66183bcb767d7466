/**
 * The order duty of one model service: compares what its workers run with its document and sends orders for the
 * difference. The lease is held only while there is something to order, so that an idle service costs the platform no
 * calls.
 */
import type { AcceptedDocument, ServiceDocument } from '@bluebellhitch/document';
import type { DutyLease, PlatformInstance } from '@bluebellhitch/objects';
import type { LoadHint } from '@bluebellhitch/protocol';
import { delay, invariant, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { silentLogger, type DutyLogger } from './dutyLogger';
import type { OrderAgentClient } from './orderAgentClient';
import { createOrderSender, type OrderTarget } from './orderSender';
import { planOrders, type OrderPlan } from './planOrders';
import { balanceRoles, measurePressure, type RoleBalanceState } from './roleBalance';
import type { WorkerView } from './workerView';
import { observeWorkers, type ObservedWorker } from './workerObserver';

export interface OrderReconcilerSettings {
  /** Concurrent loads of one service from the weight store. */
  maxConcurrentLoads: number;
  /** Pause between two observations of the workers while orders are in progress. */
  activePauseMs: number;
  /** Shortest pause between two observations while the service is idle. */
  idlePauseMs: number;
  /** Traffic that observing idle workers may cause; larger services are observed less often. */
  observeBytesPerSecond: number;
  /** Time without an order after which the lease is released. */
  releaseAfterMs: number;
  orderTimeoutMs: number;
  confirmTimeoutMs: number;
  reportLagMs: number;
  backoffMs: number;
  maxBackoffMs: number;
}

export const defaultOrderReconcilerSettings: OrderReconcilerSettings = {
  maxConcurrentLoads: 2,
  activePauseMs: 1000,
  idlePauseMs: 5000,
  observeBytesPerSecond: 1000,
  releaseAfterMs: 30_000,
  orderTimeoutMs: 600_000,
  confirmTimeoutMs: 3000,
  reportLagMs: 10_000,
  backoffMs: 2000,
  maxBackoffMs: 300_000,
};

/** A service's accepted document as this process applies it. */
export type ActiveDocument = Pick<AcceptedDocument, 'generation' | 'document'>;

export interface OrderReconcilerOptions {
  service: string;
  holderId: string;
  lease: Pick<DutyLease, 'heldFencing' | 'start' | 'stop'>;
  agentClient: OrderAgentClient;
  /** The service's accepted document, once known. */
  document(): ActiveDocument | undefined;
  /** Instances of the service, live and leaving. */
  instances(): readonly PlatformInstance[];
  /** Position among the entries for this duty; entries of a higher rank observe the workers less often. */
  rank(): number;
  logger?: DutyLogger;
  random?: Random;
  settings?: Partial<OrderReconcilerSettings>;
}

export interface OrderReconciler {
  /** Runs until `signal` aborts, then releases the lease. */
  run(signal: AbortSignal): Promise<void>;
}

/** The state that the workers are brought to. */
interface DesiredState {
  document: ServiceDocument;
  targetPrefillWorkers: number | undefined;
}

/** Size of one call to a worker over the inner protocol: request, response and headers. */
const bytesPerCall = 1000;
/** Interval at which an idle reconciler checks whether the document or the list of workers has changed. */
const changePollMs = 1000;
/** Longest wait for the lease before the workers are observed again. */
const leaseWaitMs = 10_000;
const leasePollMs = 50;

export function createOrderReconciler(options: OrderReconcilerOptions): OrderReconciler {
  const { service, holderId, lease, agentClient, document, instances, rank } = options;
  const { logger = silentLogger, random = Math.random } = options;
  const settings = { ...defaultOrderReconcilerSettings, ...options.settings };
  const sender = createOrderSender({
    ...settings,
    service,
    holderId,
    lease,
    agentClient,
    logger,
    random,
  });
  let balance: RoleBalanceState = {};
  let isCompeting = false;
  let lastOrderAtMs = -Infinity;

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const inputsBefore = describeInputs();
      const pauseMs = await runPass(signal);
      await waitForChange(pauseMs, inputsBefore, signal);
    }
    await lease.stop();
  }

  /** Runs one comparison and returns the pause until the next one. */
  async function runPass(signal: AbortSignal): Promise<number> {
    const accepted = document();
    if (accepted === undefined || accepted.document.kind !== 'model') {
      await releaseWhenIdle();
      return settings.idlePauseMs;
    }
    const workers = await observe(accepted.document);
    const targetPrefillWorkers = resolveTargetPrefillWorkers(accepted.document, workers);
    const desired = { document: accepted.document, targetPrefillWorkers };
    const plan = planFor(desired, workers, false);
    if (plan.orders.length === 0) {
      await releaseWhenIdle();
      const isIdle = sender.inFlightCount() === 0 && plan.waitingCount === 0;
      return isIdle ? idlePauseFor(accepted.document, workers.length) : settings.activePauseMs;
    }
    if (await holdLease(signal)) {
      await orderUnderLease(desired, workers);
    }
    return settings.activePauseMs;
  }

  async function orderUnderLease(
    desired: DesiredState,
    observed: readonly ObservedWorker[],
  ): Promise<void> {
    const confirmations = await Promise.all(observed.map(confirmWorker));
    // Observations from before the end of an earlier holder's orders may be out of date.
    const workers = confirmations.includes(true) ? await observe(desired.document) : observed;
    sendPlanned(planFor(desired, workers, true), workers);
  }

  function planFor(
    desired: DesiredState,
    workers: readonly ObservedWorker[],
    confirmed: boolean,
  ): OrderPlan {
    return planOrders({
      ...desired,
      workers: viewsOf(workers, desired.document, confirmed),
      maxConcurrentLoads: settings.maxConcurrentLoads,
    });
  }

  function observe({ rollout }: ServiceDocument): Promise<ObservedWorker[]> {
    const current = instances();
    sender.retain(new Set(current.map(({ id }) => id)));
    const withLoad = rollout.prefillWorkers === undefined;
    return observeWorkers({ instances: current, agentClient, service, withLoad });
  }

  function viewsOf(
    workers: readonly ObservedWorker[],
    { drain }: ServiceDocument,
    confirmed: boolean,
  ): WorkerView[] {
    return workers.map(({ instance, state }) => ({
      instanceId: instance.id,
      dataCentre: instance.dataCentre,
      state,
      leaving: instance.state === 'leaving' || drain.instances.includes(instance.id),
      busy: sender.isBusy(instance.id, state, confirmed),
      deferred: sender.isDeferred(instance.id),
    }));
  }

  function resolveTargetPrefillWorkers(
    { rollout, targets }: ServiceDocument,
    workers: readonly ObservedWorker[],
  ): number | undefined {
    if (rollout.prefillWorkers !== undefined) {
      balance = {};
      return rollout.prefillWorkers;
    }
    const states = workers.flatMap(({ state }) => (state === undefined ? [] : [state]));
    const loads = workers.flatMap(({ load }): LoadHint[] => (load === undefined ? [] : [load]));
    const prefillCount = states.filter(({ role }) => role === 'prefill').length;
    if (prefillCount === 0) {
      return undefined;
    }
    const balanced = balanceRoles({
      pressure: measurePressure(loads, targets),
      prefillCount,
      workerCount: states.length,
      state: balance,
      nowMs: monotonicNowMs(),
    });
    balance = balanced.state;
    return balanced.targetPrefillWorkers;
  }

  async function holdLease(signal: AbortSignal): Promise<boolean> {
    if (!isCompeting) {
      isCompeting = true;
      lastOrderAtMs = monotonicNowMs();
      lease.start();
    }
    const giveUpAtMs = monotonicNowMs() + leaseWaitMs;
    while (lease.heldFencing() === undefined && monotonicNowMs() < giveUpAtMs && !signal.aborted) {
      await delay(leasePollMs, signal);
    }
    return lease.heldFencing() !== undefined && !signal.aborted;
  }

  async function releaseWhenIdle(): Promise<void> {
    const isIdle = monotonicNowMs() - lastOrderAtMs >= settings.releaseAfterMs;
    if (isCompeting && isIdle && sender.inFlightCount() === 0) {
      isCompeting = false;
      await lease.stop();
    }
  }

  async function confirmWorker({ instance, state }: ObservedWorker): Promise<boolean> {
    return state !== undefined && sender.confirm(targetOf(instance), state);
  }

  function sendPlanned(plan: OrderPlan, workers: readonly ObservedWorker[]): void {
    plan.orders.forEach(({ instanceId, order }) => {
      const worker = workers.find(({ instance }) => instance.id === instanceId);
      invariant(worker !== undefined, 'orders go to workers of the service');
      sender.send(targetOf(worker.instance), order);
    });
    if (plan.orders.length > 0) {
      lastOrderAtMs = monotonicNowMs();
    }
  }

  function idlePauseFor({ rollout }: ServiceDocument, workerCount: number): number {
    const callCount = rollout.prefillWorkers === undefined ? 2 : 1;
    const bytes = workerCount * callCount * bytesPerCall;
    const budgetedMs = (bytes / settings.observeBytesPerSecond) * 1000;
    return Math.max(settings.idlePauseMs, budgetedMs) * (1 + 2 * rank());
  }

  /** Waits for `pauseMs`, or less if the document or the list of workers changes. */
  async function waitForChange(
    pauseMs: number,
    inputsBefore: string,
    signal: AbortSignal,
  ): Promise<void> {
    const untilMs = monotonicNowMs() + pauseMs;
    while (monotonicNowMs() < untilMs && !signal.aborted && describeInputs() === inputsBefore) {
      await delay(Math.min(changePollMs, untilMs - monotonicNowMs()), signal);
    }
  }

  function describeInputs(): string {
    const ids = instances().map(({ id, state }) => `${id}:${state}`);
    return `${document()?.generation ?? 0} ${ids.sort().join(' ')}`;
  }

  return { run };
}

function targetOf({ id, innerAddress }: PlatformInstance): OrderTarget {
  return { instanceId: id, address: innerAddress };
}
