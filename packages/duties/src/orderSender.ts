/**
 * Sends orders under the lease of the order duty, and remembers which workers may still be carrying
 * one out. Nothing of this has to survive the holder: see `confirm`.
 */
import type { DutyLease } from '@bluebellhitch/objects';
import type { EngineOrder, OrderReply, WorkerState } from '@bluebellhitch/protocol';
import { assertNever, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { DutyLogger } from './dutyLogger';
import type { OrderAgentClient } from './orderAgentClient';

export interface OrderTarget {
  instanceId: string;
  address: string;
}

export interface OrderSenderOptions {
  service: string;
  holderId: string;
  lease: Pick<DutyLease, 'heldFencing'>;
  agentClient: OrderAgentClient;
  logger: DutyLogger;
  random: Random;
  /** Longest time that an engine takes for an order. */
  orderTimeoutMs: number;
  /** How long a worker may take to confirm that nothing runs there. */
  confirmTimeoutMs: number;
  /** How long a worker's report may lag behind a finished order. */
  reportLagMs: number;
  /** First pause after a failed order; doubles with each further one up to `maxBackoffMs`. */
  backoffMs: number;
  maxBackoffMs: number;
}

export interface OrderSender {
  /** Sends in the background; the worker is busy until the order's end is known. */
  send(target: OrderTarget, order: EngineOrder): void;
  /**
   * Orders the role that the worker has already. The agent runs one order at a time, so its answer
   * proves that no order of an earlier holder runs there any more, and from then on the agent refuses
   * those that are still under way. Without it a new holder would take workers out of service beside
   * those that are still loading for its predecessor. True where it was confirmed just now.
   */
  confirm(target: OrderTarget, state: WorkerState): Promise<boolean>;
  /** Whether an order may be running; `confirmed` asks for proof under the current number as well. */
  isBusy(instanceId: string, state: WorkerState | undefined, confirmed: boolean): boolean;
  /** An order failed there lately: others get their turn first, for a time that grows. */
  isDeferred(instanceId: string): boolean;
  /** Orders sent and not answered yet. */
  inFlightCount(): number;
  /** Forgets workers that are gone. */
  retain(instanceIds: ReadonlySet<string>): void;
}

interface Unsettled {
  order: EngineOrder;
  untilMs: number;
}

interface Failures {
  count: number;
  retryAtMs: number;
}

export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const { service, holderId, lease, agentClient, logger, random } = options;
  const inFlight = new Map<string, EngineOrder>();
  const unsettled = new Map<string, Unsettled>();
  const failures = new Map<string, Failures>();
  /** Fencing number and incarnation under which a worker last confirmed. */
  const confirmations = new Map<string, string>();

  function send(target: OrderTarget, order: EngineOrder): void {
    void sendAndLearn(target, order);
  }

  async function sendAndLearn({ instanceId, address }: OrderTarget, order: EngineOrder) {
    // Read at the last moment: a process that was paused since it planned must not send.
    const held = lease.heldFencing();
    if (held === undefined) {
      return;
    }
    inFlight.set(instanceId, order);
    logger.info('ordering', { service, instanceId, order, fencingNumber: held.fencingNumber });
    const reply = await agentClient.order(
      address,
      { service, holderId, ...held, order },
      options.orderTimeoutMs,
    );
    inFlight.delete(instanceId);
    const outcome = reply.unwrapOr(unknownOutcome);
    learnOutcome(instanceId, order, outcome);
  }

  function learnOutcome(instanceId: string, order: EngineOrder, reply: OrderReply): void {
    switch (reply.kind) {
      case 'done':
        unsettled.set(instanceId, { order, untilMs: monotonicNowMs() + options.reportLagMs });
        return;
      case 'failed':
        if (reply.effect === 'unknown') {
          // It may still run: the worker is busy until it confirms that nothing does.
          confirmations.delete(instanceId);
        }
        noteFailure(instanceId, order, reply);
        return;
      case 'not-ready':
      case 'stale':
      case 'expired':
        noteFailure(instanceId, order, reply);
        return;
      default:
        assertNever(reply);
    }
  }

  function noteFailure(instanceId: string, order: EngineOrder, reply: OrderReply): void {
    const count = (failures.get(instanceId)?.count ?? 0) + 1;
    const pauseMs = Math.min(options.backoffMs * 2 ** (count - 1), options.maxBackoffMs);
    failures.set(instanceId, { count, retryAtMs: monotonicNowMs() + pauseMs * (0.5 + random()) });
    logger.warn('an order failed', { service, instanceId, order, reply });
  }

  async function confirm(
    { instanceId, address }: OrderTarget,
    state: WorkerState,
  ): Promise<boolean> {
    const held = lease.heldFencing();
    if (held === undefined || inFlight.has(instanceId) || isConfirmed(instanceId, state)) {
      return false;
    }
    const order: EngineOrder = { kind: 'set-role', role: state.role };
    const request = { service, holderId, ...held, order };
    const reply = await agentClient.order(address, request, options.confirmTimeoutMs);
    const isDone = reply.isOk() && reply.value.kind === 'done';
    if (isDone) {
      confirmations.set(instanceId, confirmationOf(held.fencingNumber, state));
    }
    return isDone;
  }

  function isConfirmed(instanceId: string, state: WorkerState): boolean {
    const held = lease.heldFencing();
    return (
      held !== undefined &&
      confirmations.get(instanceId) === confirmationOf(held.fencingNumber, state)
    );
  }

  function isBusy(instanceId: string, state: WorkerState | undefined, confirmed: boolean): boolean {
    if (inFlight.has(instanceId)) {
      return true;
    }
    settle(instanceId, state);
    return (
      unsettled.has(instanceId) ||
      (confirmed && state !== undefined && !isConfirmed(instanceId, state))
    );
  }

  function settle(instanceId: string, state: WorkerState | undefined): void {
    const waiting = unsettled.get(instanceId);
    if (waiting !== undefined && state !== undefined && showsEffect(state, waiting.order)) {
      unsettled.delete(instanceId);
      failures.delete(instanceId);
    } else if (waiting !== undefined && waiting.untilMs <= monotonicNowMs()) {
      unsettled.delete(instanceId);
      noteFailure(instanceId, waiting.order, withoutEffect);
    }
  }

  function retain(instanceIds: ReadonlySet<string>): void {
    [unsettled, failures, confirmations].forEach((map) =>
      [...map.keys()].filter((id) => !instanceIds.has(id)).forEach((id) => map.delete(id)),
    );
  }

  return {
    send,
    confirm,
    isBusy,
    isDeferred: (instanceId) => (failures.get(instanceId)?.retryAtMs ?? 0) > monotonicNowMs(),
    inFlightCount: () => inFlight.size,
    retain,
  };
}

/** Key of the lease object; agents read the current fencing number from it. */
export function orderLeaseKey(service: string): string {
  return `orders/${service}`;
}

/** Whether the worker reports what the order asked for. */
export function showsEffect(state: WorkerState, order: EngineOrder): boolean {
  switch (order.kind) {
    case 'load-model':
      return state.models.some(
        ({ model, version }) => model === order.model && version === order.version,
      );
    case 'load-adapter':
      return hasAdapter(state, order);
    case 'unload-adapter':
      return !hasAdapter(state, order);
    case 'set-role':
      return state.role === order.role;
    default:
      return assertNever(order);
  }
}

function hasAdapter(state: WorkerState, wanted: { model: string; adapter: string }): boolean {
  return state.adapters.some(
    ({ model, adapter }) => model === wanted.model && adapter === wanted.adapter,
  );
}

/** A restarted worker has to confirm again. */
function confirmationOf(fencingNumber: number, state: WorkerState): string {
  return `${fencingNumber}/${state.incarnation}`;
}

const withoutEffect: OrderReply = {
  kind: 'failed',
  detail: 'done, but the worker does not report it',
  effect: 'none',
};
const unknownOutcome: OrderReply = { kind: 'failed', detail: 'no answer', effect: 'unknown' };
