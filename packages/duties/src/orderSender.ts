/**
 * Sends orders under the lease of the order duty, and tracks which workers may still be executing one. None of this
 * state has to survive the holder: see `confirm`.
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
  /** Longest time that an engine may take for an order. */
  orderTimeoutMs: number;
  /** Longest time that a worker may take to confirm that it executes no order. */
  confirmTimeoutMs: number;
  /** Longest time by which a worker's report may lag behind a finished order. */
  reportLagMs: number;
  /** Pause after the first failed order; doubles with each further failure, up to `maxBackoffMs`. */
  backoffMs: number;
  maxBackoffMs: number;
}

export interface OrderSender {
  /** Sends in the background; the worker counts as busy until the order's outcome is known. */
  send(target: OrderTarget, order: EngineOrder): void;
  /**
   * Orders the role that the worker already has. The agent executes one order at a time, so its response proves that
   * no order of an earlier holder is running there; from then on the agent refuses orders of earlier holders that are
   * still in transit. Without this a new holder would take workers out of service in addition to those that are still
   * loading for its predecessor. Returns true if this call obtained the confirmation.
   */
  confirm(target: OrderTarget, state: WorkerState): Promise<boolean>;
  /** Whether an order may be running; `confirmed` also requires a confirmation under the current fencing number. */
  isBusy(instanceId: string, state: WorkerState | undefined, confirmed: boolean): boolean;
  /** Whether the worker is in backoff after a failed order, so that other workers come first. */
  isDeferred(instanceId: string): boolean;
  /** Orders sent that have no response yet. */
  inFlightCount(): number;
  /** Drops the state of all other workers, except for orders in flight. */
  retain(instanceIds: ReadonlySet<string>): void;
}

/** An order that was reported as done but does not show in the worker's state yet. */
interface UnverifiedOrder {
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
  const unverified = new Map<string, UnverifiedOrder>();
  const failures = new Map<string, Failures>();
  /** Fencing number and incarnation under which a worker last confirmed. */
  const confirmations = new Map<string, string>();

  function send(target: OrderTarget, order: EngineOrder): void {
    void sendAndRecord(target, order);
  }

  async function sendAndRecord({ instanceId, address }: OrderTarget, order: EngineOrder) {
    // Checked right before sending: a process that was paused after planning must not send under an expired lease.
    const held = lease.heldFencing();
    if (held === undefined) {
      return;
    }
    inFlight.set(instanceId, order);
    logger.info('sending an order', {
      service,
      instanceId,
      order,
      fencingNumber: held.fencingNumber,
    });
    const reply = await agentClient.order(
      address,
      { service, holderId, ...held, order },
      options.orderTimeoutMs,
    );
    inFlight.delete(instanceId);
    const outcome = reply.unwrapOr(unknownOutcomeReply);
    recordOutcome(instanceId, order, outcome);
  }

  function recordOutcome(instanceId: string, order: EngineOrder, reply: OrderReply): void {
    switch (reply.kind) {
      case 'done':
        unverified.set(instanceId, { order, untilMs: monotonicNowMs() + options.reportLagMs });
        return;
      case 'failed':
        if (reply.effect === 'unknown') {
          // The order may still be running: the worker counts as busy until it confirms that none is.
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
    verify(instanceId, state);
    return (
      unverified.has(instanceId) ||
      (confirmed && state !== undefined && !isConfirmed(instanceId, state))
    );
  }

  function verify(instanceId: string, state: WorkerState | undefined): void {
    const waiting = unverified.get(instanceId);
    if (waiting !== undefined && state !== undefined && hasTakenEffect(state, waiting.order)) {
      unverified.delete(instanceId);
      failures.delete(instanceId);
    } else if (waiting !== undefined && waiting.untilMs <= monotonicNowMs()) {
      unverified.delete(instanceId);
      noteFailure(instanceId, waiting.order, noEffectReply);
    }
  }

  function retain(instanceIds: ReadonlySet<string>): void {
    [unverified, failures, confirmations].forEach((map) =>
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

/** Whether the worker's state shows the result of the order. */
export function hasTakenEffect(state: WorkerState, order: EngineOrder): boolean {
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

/** Includes the incarnation, so that a restarted worker has to confirm again. */
function confirmationOf(fencingNumber: number, state: WorkerState): string {
  return `${fencingNumber}/${state.incarnation}`;
}

const noEffectReply: OrderReply = {
  kind: 'failed',
  detail: 'done, but the worker does not report it',
  effect: 'none',
};
const unknownOutcomeReply: OrderReply = { kind: 'failed', detail: 'no answer', effect: 'unknown' };
