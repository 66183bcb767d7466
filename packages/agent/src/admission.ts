/**
 * Grants the backend server's memory: reservations are granted at once, against predicted releases,
 * or wait in the queue. The pump runs after each change and on each tick.
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
  /** Not positive: the target is missed already, and only `waitLimitMs` bounds the wait. */
  firstTokenDeadlineInMs: number;
}

export type AdmissionOutcome =
  | { kind: 'granted'; usableInMs: number }
  | { kind: 'refused'; reason: AgentRefusalReason; detail: string; retryAfterMs?: number };

export interface AdmissionOptions {
  table: LeaseTable;
  /** Called with the wait of each granted request. */
  onGranted?: (request: AdmissionRequest, waitedMs: number) => void;
}

export interface Admission {
  reserve(request: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionOutcome>;
  /** Waits until a promised lease holds its memory; false where it ends or the time is over. */
  untilHeld(attemptId: string, limitMs: number, signal?: AbortSignal): Promise<boolean>;
  /** Answers a waiting request; false where it does not wait. */
  cancelWaiting(attemptId: string): boolean;
  refuseAllWaiting(reason: AgentRefusalReason, detail: string): void;
  /** Grants what can be granted. Call after memory was freed, and on each tick. */
  pump(): void;
  setClasses(classes: ReadonlyMap<string, QueueClass>): void;
  queuedCount(): number;
  /**
   * When a request of this size would be usable behind those that wait with an earlier deadline, by
   * default behind all; undefined: never.
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

/** Enough for the most urgent case, a queue that moves with each finished request. */
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

  /** A queue longer than the memory takes several rounds of it. */
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
    if (isHopeless(request, predictedMs)) {
      return refuse(
        agentRefusalReasons.deadlineHopeless,
        `memory is expected to be free in ${Math.round(predictedMs)} ms`,
        predictedMs,
      );
    }
    return join(request, predictedMs, signal);
  }

  function join(
    request: AdmissionRequest,
    predictedMs: number,
    signal?: AbortSignal,
  ): Promise<AdmissionOutcome> {
    return new Promise((resolve) => {
      const leave = () => cancelWaiting(request.attemptId);
      const waiting = toWaiting(request, (outcome) => {
        signal?.removeEventListener('abort', leave);
        resolve(outcome);
      });
      if (queue.offer(waiting).kind === 'queue-full') {
        resolve(refuse(agentRefusalReasons.queueFull, 'the class has its limit', predictedMs));
        return;
      }
      signal?.addEventListener('abort', leave);
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
   * A request whose memory will not come in time is answered now: held until its deadline, its caller
   * would learn too late to go elsewhere.
   */
  function giveUpHopeless(): void {
    const nowMs = monotonicNowMs();
    const expired = queue.expire(nowMs);
    const hopeless = queue
      .waiters()
      .filter((waiting) => comesTooLate(waiting, nowMs))
      .flatMap(({ id }) => queue.remove(id) ?? []);
    [...expired, ...hopeless].forEach(({ request, settle }) => {
      const predictedMs = usableInMs(request.kvBytes) ?? 0;
      settle(refuse(agentRefusalReasons.deadlineHopeless, 'waited in vain', predictedMs));
    });
  }

  /** Judged as if nobody else waited, so that only the certain cases are given up early. */
  function comesTooLate({ request, waitUntilMs }: WaitingRequest, nowMs: number): boolean {
    const aloneMs = table.usableInMs({ kvBytes: request.kvBytes, slots: 1 }, nowMs);
    return aloneMs !== undefined && nowMs + aloneMs - request.neededInMs > waitUntilMs;
  }

  function untilHeld(attemptId: string, limitMs: number, signal?: AbortSignal): Promise<boolean> {
    const state = table.get(attemptId)?.state;
    if (state !== 'promised') {
      return Promise.resolve(state !== undefined && state !== 'releasing');
    }
    return new Promise((resolve) => {
      const finish = (isHeld: boolean) => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', giveUp);
        heldWaiters.delete(waiter);
        resolve(isHeld);
      };
      const giveUp = () => finish(false);
      const waiter: HeldWaiter = { attemptId, resolve: finish };
      const timer = setTimeout(giveUp, limitMs);
      signal?.addEventListener('abort', giveUp);
      heldWaiters.add(waiter);
    });
  }

  function answerHeldWaiters(): void {
    [...heldWaiters].forEach((waiter) => {
      const state = table.get(waiter.attemptId)?.state;
      if (state !== 'promised') {
        waiter.resolve(state !== undefined && state !== 'releasing');
      }
    });
  }

  function pump(): void {
    table.holdPromised();
    answerHeldWaiters();
    giveUpHopeless();
    grantWaiting();
  }

  return {
    reserve,
    untilHeld,
    cancelWaiting,
    pump,
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

/** Whether memory comes too late for the wait that the entry allows or for the first token. */
function isHopeless(request: AdmissionRequest, usableInMs: number): boolean {
  const waitMs = Math.max(0, usableInMs - request.neededInMs);
  const missesTarget =
    request.firstTokenDeadlineInMs > 0 && usableInMs > request.firstTokenDeadlineInMs;
  return waitMs > request.waitLimitMs || missesTarget;
}

function toWaiting(
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
