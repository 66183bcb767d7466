/**
 * The order duty of one model service: compares what its workers run with its document and orders the
 * difference. The lease is taken only while there is something to order, so that a service at rest
 * costs the platform no calls.
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

export interface OrderHolderSettings {
  /** Loads of one service from the weight store at once. */
  maxConcurrentLoads: number;
  /** Shortest pause between two looks at the workers while orders are under way. */
  activePauseMs: number;
  /** The same at rest. */
  restPauseMs: number;
  /** Bytes that looking at workers may cost; larger services are looked at less often. */
  observeBytesPerSecond: number;
  /** The lease is released after this long without an order. */
  releaseAfterMs: number;
  orderTimeoutMs: number;
  confirmTimeoutMs: number;
  reportLagMs: number;
  backoffMs: number;
  maxBackoffMs: number;
}

export const defaultOrderHolderSettings: OrderHolderSettings = {
  maxConcurrentLoads: 2,
  activePauseMs: 1000,
  restPauseMs: 5000,
  observeBytesPerSecond: 1000,
  releaseAfterMs: 30_000,
  orderTimeoutMs: 600_000,
  confirmTimeoutMs: 3000,
  reportLagMs: 10_000,
  backoffMs: 2000,
  maxBackoffMs: 300_000,
};

/** A service's accepted document as this process applies it. */
export type DocumentInForce = Pick<AcceptedDocument, 'generation' | 'document'>;

export interface OrderHolderOptions {
  service: string;
  holderId: string;
  lease: Pick<DutyLease, 'heldFencing' | 'start' | 'stop'>;
  agentClient: OrderAgentClient;
  /** The service's accepted document, once known. */
  document(): DocumentInForce | undefined;
  /** Instances of the service, live and leaving. */
  instances(): readonly PlatformInstance[];
  /** Position among the entries for this duty; later ones look less often. */
  rank(): number;
  logger?: DutyLogger;
  random?: Random;
  settings?: Partial<OrderHolderSettings>;
}

export interface OrderHolder {
  /** Works until `signal` aborts, then releases the lease. */
  run(signal: AbortSignal): Promise<void>;
}

/** What the workers should come to. */
interface Goal {
  document: ServiceDocument;
  wantedPrefillWorkers: number | undefined;
}

/** One question to one worker over the inner protocol, with its answer and headers. */
const bytesPerQuestion = 1000;
/** How often a resting holder looks whether the document or the list of workers changed. */
const wakeIntervalMs = 1000;
/** How long to wait for the lease before looking at the workers again. */
const leaseWaitMs = 10_000;
const leasePollMs = 50;

export function createOrderHolder(options: OrderHolderOptions): OrderHolder {
  const { service, holderId, lease, agentClient, document, instances, rank } = options;
  const { logger = silentLogger, random = Math.random } = options;
  const settings = { ...defaultOrderHolderSettings, ...options.settings };
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
  let competing = false;
  let orderedAtMs = -Infinity;

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const seen = signature();
      const pauseMs = await runPass(signal);
      await rest(pauseMs, seen, signal);
    }
    await lease.stop();
  }

  /** One comparison; answers how long to rest. */
  async function runPass(signal: AbortSignal): Promise<number> {
    const accepted = document();
    if (accepted === undefined || accepted.document.kind !== 'model') {
      await releaseWhenIdle();
      return settings.restPauseMs;
    }
    const workers = await observe(accepted.document);
    const wantedPrefillWorkers = wantPrefillWorkers(accepted.document, workers);
    const goal = { document: accepted.document, wantedPrefillWorkers };
    const wanted = planFor(goal, workers, false);
    if (wanted.orders.length === 0) {
      await releaseWhenIdle();
      const isAtRest = sender.inFlightCount() === 0 && wanted.waitingCount === 0;
      return isAtRest ? restPauseFor(accepted.document, workers.length) : settings.activePauseMs;
    }
    if (await holdLease(signal)) {
      await orderUnderLease(goal, workers);
    }
    return settings.activePauseMs;
  }

  async function orderUnderLease(goal: Goal, seen: readonly ObservedWorker[]): Promise<void> {
    const confirmations = await Promise.all(seen.map(confirmWorker));
    // What was seen before an earlier holder's orders came to their end may be out of date.
    const workers = confirmations.includes(true) ? await observe(goal.document) : seen;
    sendPlanned(planFor(goal, workers, true), workers);
  }

  function planFor(goal: Goal, workers: readonly ObservedWorker[], confirmed: boolean): OrderPlan {
    return planOrders({
      ...goal,
      workers: viewsOf(workers, goal.document, confirmed),
      maxConcurrentLoads: settings.maxConcurrentLoads,
    });
  }

  function observe({ rollout }: ServiceDocument): Promise<ObservedWorker[]> {
    const present = instances();
    sender.retain(new Set(present.map(({ id }) => id)));
    const withLoad = rollout.prefillWorkers === undefined;
    return observeWorkers({ instances: present, agentClient, service, withLoad });
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

  function wantPrefillWorkers(
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
    return balanced.wantedPrefillWorkers;
  }

  async function holdLease(signal: AbortSignal): Promise<boolean> {
    if (!competing) {
      competing = true;
      orderedAtMs = monotonicNowMs();
      lease.start();
    }
    const giveUpAtMs = monotonicNowMs() + leaseWaitMs;
    while (lease.heldFencing() === undefined && monotonicNowMs() < giveUpAtMs && !signal.aborted) {
      await delay(leasePollMs, signal);
    }
    return lease.heldFencing() !== undefined && !signal.aborted;
  }

  async function releaseWhenIdle(): Promise<void> {
    const isIdle = monotonicNowMs() - orderedAtMs >= settings.releaseAfterMs;
    if (competing && isIdle && sender.inFlightCount() === 0) {
      competing = false;
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
      orderedAtMs = monotonicNowMs();
    }
  }

  function restPauseFor({ rollout }: ServiceDocument, workerCount: number): number {
    const questions = rollout.prefillWorkers === undefined ? 2 : 1;
    const bytes = workerCount * questions * bytesPerQuestion;
    const budgetedMs = (bytes / settings.observeBytesPerSecond) * 1000;
    return Math.max(settings.restPauseMs, budgetedMs) * (1 + 2 * rank());
  }

  /** Ends early where the document or the list of workers changes. */
  async function rest(pauseMs: number, seen: string, signal: AbortSignal): Promise<void> {
    const untilMs = monotonicNowMs() + pauseMs;
    while (monotonicNowMs() < untilMs && !signal.aborted && signature() === seen) {
      await delay(Math.min(wakeIntervalMs, untilMs - monotonicNowMs()), signal);
    }
  }

  function signature(): string {
    const ids = instances().map(({ id, state }) => `${id}:${state}`);
    return `${document()?.generation ?? 0} ${ids.sort().join(' ')}`;
  }

  return { run };
}

function targetOf({ id, innerAddress }: PlatformInstance): OrderTarget {
  return { instanceId: id, address: innerAddress };
}
