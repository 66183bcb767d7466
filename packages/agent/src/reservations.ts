/** Handles reserve, cancel and heartbeat messages for the backend server's memory and slots. */
import type { LeasePurpose, LeaseTable } from '@bluebellhitch/decisions';
import {
  agentRefusalReasons,
  type AgentRefusal,
  type AgentRefusalReason,
  type AttemptReference,
  type Heartbeat,
  type HeartbeatReply,
  type LoadHint,
  type ReserveReply,
  type ReserveRequest,
  type WorkerRole,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, type NotRun } from '@bluebellhitch/shared';
import type { Admission, AdmissionRequest } from './admission';
import type { AgentObserver } from './agentObserver';
import type { AttemptRecord } from './attemptRecord';
import type { LeaseReleaser } from './leaseReleaser';
import type { WorkEstimates, WorkShape } from './workEstimates';

export interface ReservationsOptions {
  service: string;
  incarnation: string;
  table: LeaseTable;
  admission: Admission;
  releaser: LeaseReleaser;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  observer: AgentObserver;
  load: () => LoadHint;
  /** Role of the backend server; undefined while it is down. */
  role: () => WorkerRole | undefined;
  isLeaving: () => boolean;
  kvBytesPerToken: () => number;
}

export type MemoryDemand = Pick<ReserveRequest, 'purpose' | 'promptTokens' | 'maxOutputTokens'>;

/** Data kept for a reservation until its lease ends. */
export interface ReservationDetails {
  shape: WorkShape;
  /** Monotonic time of the first-token target; infinite if it had passed when the request arrived. */
  deadlineAtMs: number;
}

export interface Reservations {
  reserve(request: ReserveRequest, signal?: AbortSignal): Promise<ReserveReply>;
  cancel(reference: AttemptReference): void;
  heartbeat(heartbeat: Heartbeat): HeartbeatReply;
  getDetails(attemptId: string): ReservationDetails | undefined;
  /** KV cache in bytes that a request needs; 1 for a plain call. */
  requiredKvBytes(demand: MemoryDemand): number;
  /** Call once the lease of an attempt has ended. */
  forget(attemptId: string): void;
}

/** Worker roles that can serve each purpose. */
const rolesByPurpose: Record<LeasePurpose, readonly WorkerRole[]> = {
  prefill: ['prefill', 'both'],
  decode: ['decode', 'both'],
  plain: ['plain'],
};

export function createReservations(options: ReservationsOptions): Reservations {
  const { table, admission, releaser, attempts, estimates, observer, load } = options;
  const details = new Map<string, ReservationDetails>();

  function refuse(
    reason: AgentRefusalReason,
    detail: string,
    notRun: NotRun = true,
    retryAfterMs?: number,
  ): AgentRefusal {
    observer.onRefused(reason);
    return { kind: 'refused', reason, notRun, detail, retryAfterMs, load: load() };
  }

  function checkRequest(request: ReserveRequest): AgentRefusal | undefined {
    if (options.isLeaving()) {
      return refuse(agentRefusalReasons.leaving, 'this backend server takes no new work');
    }
    if (request.service !== options.service) {
      return refuse(agentRefusalReasons.wrongService, `this is ${options.service}`);
    }
    const role = options.role();
    if (role === undefined) {
      return refuse(agentRefusalReasons.notReady, 'the backend server does not answer');
    }
    return rolesByPurpose[request.purpose].includes(role)
      ? undefined
      : refuse(agentRefusalReasons.wrongRole, `its role is ${role}`);
  }

  /** Handles a message that was sent again, or that arrives after its attempt was cancelled. */
  function replyToKnownAttempt(request: ReserveRequest): ReserveReply | undefined {
    const phase = attempts.getPhase(request.attemptId);
    switch (phase) {
      case undefined:
        return undefined;
      case 'reserved':
        return repeatGrant(request);
      case 'cancelled':
        return refuse(agentRefusalReasons.cancelled, 'cancelled before');
      default:
        return refuse(agentRefusalReasons.cancelled, 'this attempt has run before', false);
    }
  }

  function repeatGrant(request: ReserveRequest): ReserveReply {
    const lease = table.get(request.attemptId);
    if (lease?.owner?.entryId !== request.entryId) {
      return refuse(agentRefusalReasons.cancelled, 'the earlier reservation is over or waits');
    }
    const usableInMs = lease.state === 'promised' ? (admission.usableInMs(lease.kvBytes) ?? 0) : 0;
    return granted(usableInMs);
  }

  function granted(usableInMs: number): ReserveReply {
    return { kind: 'granted', incarnation: options.incarnation, usableInMs, load: load() };
  }

  async function reserve(request: ReserveRequest, signal?: AbortSignal): Promise<ReserveReply> {
    const earlyReply = replyToKnownAttempt(request) ?? checkRequest(request);
    if (earlyReply !== undefined) {
      return earlyReply;
    }
    const { attemptId } = request;
    const startedAtMs = monotonicNowMs();
    attempts.noteReserved(attemptId);
    const outcome = await admission.reserve(toAdmissionRequest(request), signal);
    if (outcome.kind === 'refused') {
      attempts.forget(attemptId);
      const { reason, detail, retryAfterMs } = outcome;
      return refuse(reason, detail, true, retryAfterMs);
    }
    details.set(attemptId, {
      shape: toWorkShape(request),
      deadlineAtMs:
        request.firstTokenDeadlineInMs > 0
          ? startedAtMs + request.firstTokenDeadlineInMs
          : Infinity,
    });
    observer.onReserved(request, monotonicNowMs() - startedAtMs, outcome.usableInMs);
    return granted(outcome.usableInMs);
  }

  function toAdmissionRequest(request: ReserveRequest): AdmissionRequest {
    const { entryId, entryIncarnation, origin } = request;
    return {
      attemptId: request.attemptId,
      owner: { entryId, entryIncarnation },
      purpose: request.purpose,
      institution: origin.institution,
      className: origin.className,
      kvBytes: requiredKvBytes(request),
      neededInMs: request.neededInMs,
      expectedHoldMs: expectedHoldMs(request),
      waitLimitMs: request.waitLimitMs,
      firstTokenDeadlineInMs: request.firstTokenDeadlineInMs,
    };
  }

  /** For a plain service the capacity is counted in slots, and a call takes one. */
  function requiredKvBytes({ purpose, promptTokens, maxOutputTokens }: MemoryDemand): number {
    switch (purpose) {
      case 'prefill':
        return Math.ceil(promptTokens * options.kvBytesPerToken());
      case 'decode':
        return Math.ceil((promptTokens + maxOutputTokens) * options.kvBytesPerToken());
      default:
        return 1;
    }
  }

  function expectedHoldMs(request: ReserveRequest): number {
    switch (request.purpose) {
      case 'prefill':
        return estimates.prefillHoldMs(request.promptTokens);
      case 'decode':
        return estimates.decodeHoldMs(toWorkShape(request));
      default:
        return estimates.callMs();
    }
  }

  function cancel({ entryId, attemptId }: AttemptReference): void {
    const owner = table.get(attemptId)?.owner;
    if (owner !== undefined && owner.entryId !== entryId) {
      return;
    }
    attempts.noteCancelled(attemptId);
    admission.cancelWaiting(attemptId);
    releaser.release(attemptId);
  }

  return {
    reserve,
    cancel,
    requiredKvBytes,
    heartbeat: (heartbeat) => {
      const heldAttempts = table.renew(heartbeat, monotonicNowMs());
      return { incarnation: options.incarnation, heldAttempts, load: load() };
    },
    getDetails: (attemptId) => details.get(attemptId),
    forget: (attemptId) => {
      details.delete(attemptId);
    },
  };
}

function toWorkShape({ origin, promptTokens, maxOutputTokens }: ReserveRequest): WorkShape {
  return { className: origin.className, promptTokens, maxOutputTokens };
}
