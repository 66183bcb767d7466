/**
 * Admission control for the backend server's memory and slots. A reservation is granted at once, granted
 * against memory that is predicted to be released in time, queued, or refused. The queue is processed after
 * each change and on each tick.
 */
import {
  createAdmissionQueue,
  type LeaseCapacity,
  type LeaseOwner,
  type LeasePurpose,
  type LeaseTable,
  type QueueClass,
  type Waiter,
} from '@bluebellhitch/decisions';
import { agentRefusalReasons, type AgentRefusalReason } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface AdmissionRequest {
  attemptId: string;
  owner: LeaseOwner;
  purpose: LeasePurpose;
  institution: string;
  className: string;
  kvBytes: number;
  neededInMs: number;
  expectedHoldMs: number;
  waitLimitMs: number;
  /** Zero or negative if the first-token target has passed; then only `waitLimitMs` bounds the wait. */
  firstTokenDeadlineInMs: number;
}

export type AdmissionOutcome =
  | { kind: 'granted'; usableInMs: number }
  | { kind: 'refused'; reason: AgentRefusalReason; detail: string; retryAfterMs?: number };

export interface AdmissionOptions {
  table: LeaseTable;
  /** Called for each granted request with the time it spent in the queue. */
  onGranted?: (request: AdmissionRequest, waitedMs: number) => void;
}

export interface Admission {
  reserve(request: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionOutcome>;
  /** Waits until a promised lease holds its memory; false if the lease ends, or on timeout or abort. */
  waitUntilHeld(attemptId: string, timeoutMs: number, signal?: AbortSignal): Promise<boolean>;
  /** Removes a request from the queue and refuses it as cancelled; false if it is not queued. */
  cancelWaiting(attemptId: string): boolean;
  refuseAllWaiting(reason: AgentRefusalReason, detail: string): void;
  /** Grants or refuses queued requests where possible. Call after memory was freed, and on each tick. */
  processQueue(): void;
  setClasses(classes: ReadonlyMap<string, QueueClass>): void;
  queuedCount(): number;
  /**
   * Predicted time until this much memory is usable, after the queued requests with an earlier deadline,
   * by default after all of them; undefined if the request exceeds the capacity.
   */
  usableInMs(kvBytes: number, deadlineAtMs?: number): number | undefined;
}

interface WaitingRequest extends Waiter {
  request: AdmissionRequest;
  queuedAtMs: number;
  settle(outcome: AdmissionOutcome): void;
}

interface HeldWaiter {
  attemptId: string;
  resolve(isHeld: boolean): void;
}

/** Long enough even for a queue that advances with each finished request. */
const minRetryAfterMs = 50;

export function createAdmission(options: AdmissionOptions): Admission {
  const { table, onGranted = () => undefined } = options;
  const queue = createAdmissionQueue<WaitingRequest>();
  const heldWaiters = new Set<HeldWaiter>();

  function usableInMs(kvBytes: number, deadlineAtMs = Infinity): number | undefined {
    const { capacity } = table.totals();
    if (kvBytes > capacity.kvBytes || capacity.slots < 1) {
      return undefined;
    }
    const ahead = queue.waiters().filter((waiter) => waiter.deadlineAtMs <= deadlineAtMs);
    const aheadKvBytes = ahead.reduce((total, { request }) => total + request.kvBytes, 0);
    const demand = { kvBytes: kvBytes + aheadKvBytes, slots: ahead.length + 1 };
    const nowMs = monotonicNowMs();
    return table.usableInMs(demand, nowMs) ?? extrapolateUsableInMs(demand, capacity, nowMs);
  }

  /** A demand beyond the total capacity needs that capacity to be released several times. */
  function extrapolateUsableInMs(
    demand: LeaseCapacity,
    capacity: LeaseCapacity,
    nowMs: number,
  ): number {
    const oneRoundMs = table.usableInMs(capacity, nowMs) ?? 0;
    const rounds = Math.max(demand.kvBytes / capacity.kvBytes, demand.slots / capacity.slots);
    return oneRoundMs * rounds;
  }

  function refuse(
    reason: AgentRefusalReason,
    detail: string,
    retryAfterMs?: number,
  ): AdmissionOutcome {
    const retry = retryAfterMs === undefined ? undefined : Math.max(retryAfterMs, minRetryAfterMs);
    return { kind: 'refused', reason, detail, retryAfterMs: retry };
  }

  function tryGrant(request: AdmissionRequest): AdmissionOutcome | undefined {
    const outcome = table.reserve(request, monotonicNowMs());
    switch (outcome.kind) {
      case 'granted':
        return { kind: 'granted', usableInMs: outcome.usableInMs };
      case 'never':
        return refuse(agentRefusalReasons.noCapacity, 'larger than the whole memory');
      default:
        return undefined;
    }
  }

  async function reserve(
    request: AdmissionRequest,
    signal?: AbortSignal,
  ): Promise<AdmissionOutcome> {
    if (signal?.aborted) {
      return refuse(agentRefusalReasons.cancelled, 'the connection closed');
    }
    const immediate = queue.size() === 0 ? tryGrant(request) : undefined;
    if (immediate !== undefined) {
      reportGrant(request, immediate, 0);
      return immediate;
    }
    const deadlineAtMs = monotonicNowMs() + request.firstTokenDeadlineInMs;
    const predictedMs = usableInMs(request.kvBytes, deadlineAtMs);
    if (predictedMs === undefined) {
      return refuse(agentRefusalReasons.noCapacity, 'larger than the whole memory');
    }
    if (missesDeadline(request, predictedMs)) {
      return refuse(
        agentRefusalReasons.deadlineHopeless,
        `memory is expected to be free in ${Math.round(predictedMs)} ms`,
        predictedMs,
      );
    }
    return enqueue(request, predictedMs, signal);
  }

  function enqueue(
    request: AdmissionRequest,
    predictedMs: number,
    signal?: AbortSignal,
  ): Promise<AdmissionOutcome> {
    return new Promise((resolve) => {
      const onAbort = () => cancelWaiting(request.attemptId);
      const waiting = createWaitingRequest(request, (outcome) => {
        signal?.removeEventListener('abort', onAbort);
        resolve(outcome);
      });
      if (queue.offer(waiting).kind === 'queue-full') {
        resolve(refuse(agentRefusalReasons.queueFull, 'the class has its limit', predictedMs));
        return;
      }
      signal?.addEventListener('abort', onAbort);
      grantWaiting();
    });
  }

  function cancelWaiting(attemptId: string): boolean {
    const waiting = queue.remove(attemptId);
    waiting?.settle(refuse(agentRefusalReasons.cancelled, 'cancelled while it waited'));
    return waiting !== undefined;
  }

  function reportGrant(
    request: AdmissionRequest,
    outcome: AdmissionOutcome,
    waitedMs: number,
  ): void {
    if (outcome.kind === 'granted') {
      onGranted(request, waitedMs);
    }
  }

  function grantWaiting(): void {
    let next = queue.peek();
    while (next !== undefined) {
      const outcome = tryGrant(next.request);
      if (outcome === undefined) {
        return;
      }
      queue.take();
      reportGrant(next.request, outcome, monotonicNowMs() - next.queuedAtMs);
      next.settle(outcome);
      next = queue.peek();
    }
  }

  /**
   * Refuses queued requests whose memory will not be free in time. If they waited until their deadline, the
   * caller would have no time left to try another instance.
   */
  function refuseLateWaiters(): void {
    const nowMs = monotonicNowMs();
    const expired = queue.expire(nowMs);
    const late = queue
      .waiters()
      .filter((waiting) => willBeLate(waiting, nowMs))
      .flatMap(({ id }) => queue.remove(id) ?? []);
    [...expired, ...late].forEach(({ request, settle }) => {
      const predictedMs = usableInMs(request.kvBytes) ?? 0;
      settle(refuse(agentRefusalReasons.deadlineHopeless, 'waited in vain', predictedMs));
    });
  }

  /** Ignores the other queued requests, so that only requests that are certain to be late are refused early. */
  function willBeLate({ request, waitUntilMs }: WaitingRequest, nowMs: number): boolean {
    const aloneMs = table.usableInMs({ kvBytes: request.kvBytes, slots: 1 }, nowMs);
    return aloneMs !== undefined && nowMs + aloneMs - request.neededInMs > waitUntilMs;
  }

  function waitUntilHeld(
    attemptId: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<boolean> {
    const state = table.get(attemptId)?.state;
    if (state !== 'promised') {
      return Promise.resolve(state !== undefined && state !== 'releasing');
    }
    return new Promise((resolve) => {
      const finish = (isHeld: boolean) => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', cancelWait);
        heldWaiters.delete(waiter);
        resolve(isHeld);
      };
      const cancelWait = () => finish(false);
      const waiter: HeldWaiter = { attemptId, resolve: finish };
      const timer = setTimeout(cancelWait, timeoutMs);
      signal?.addEventListener('abort', cancelWait);
      heldWaiters.add(waiter);
    });
  }

  function resolveHeldWaiters(): void {
    [...heldWaiters].forEach((waiter) => {
      const state = table.get(waiter.attemptId)?.state;
      if (state !== 'promised') {
        waiter.resolve(state !== undefined && state !== 'releasing');
      }
    });
  }

  function processQueue(): void {
    table.holdPromised();
    resolveHeldWaiters();
    refuseLateWaiters();
    grantWaiting();
  }

  return {
    reserve,
    waitUntilHeld,
    cancelWaiting,
    processQueue,
    usableInMs,
    refuseAllWaiting: (reason, detail) => {
      queue.waiters().forEach((waiting) => {
        queue.remove(waiting.id);
        waiting.settle(refuse(reason, detail));
      });
    },
    setClasses: (classes) => queue.setClasses(classes),
    queuedCount: () => queue.size(),
  };
}

/** Whether the memory is free too late for the wait that the entry allows, or for the first-token target. */
function missesDeadline(request: AdmissionRequest, usableInMs: number): boolean {
  const waitMs = Math.max(0, usableInMs - request.neededInMs);
  const missesTarget =
    request.firstTokenDeadlineInMs > 0 && usableInMs > request.firstTokenDeadlineInMs;
  return waitMs > request.waitLimitMs || missesTarget;
}

function createWaitingRequest(
  request: AdmissionRequest,
  settle: (outcome: AdmissionOutcome) => void,
): WaitingRequest {
  const nowMs = monotonicNowMs();
  const deadlineInMs =
    request.firstTokenDeadlineInMs > 0 ? request.firstTokenDeadlineInMs : Infinity;
  return {
    id: request.attemptId,
    institution: request.institution,
    className: request.className,
    cost: Math.max(request.kvBytes, 1),
    deadlineAtMs: nowMs + request.firstTokenDeadlineInMs,
    waitUntilMs: nowMs + Math.min(request.waitLimitMs, deadlineInMs),
    request,
    queuedAtMs: nowMs,
    settle,
  };
}
