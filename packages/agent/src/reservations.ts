/** Answers reserve, cancel and heartbeat messages: who may hold what of the backend server. */
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
import type { LeaseKeeper } from './leaseKeeper';
import type { WorkEstimates, WorkShape } from './workEstimates';

export interface ReservationsOptions {
  service: string;
  incarnation: string;
  table: LeaseTable;
  admission: Admission;
  keeper: LeaseKeeper;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  observer: AgentObserver;
  load: () => LoadHint;
  /** The backend server's role; undefined while it is down. */
  role: () => WorkerRole | undefined;
  isLeaving: () => boolean;
  kvBytesPerToken: () => number;
}

export type MemoryShape = Pick<ReserveRequest, 'purpose' | 'promptTokens' | 'maxOutputTokens'>;

/** What is remembered about a reservation while its lease lives. */
export interface ReservationDetails {
  shape: WorkShape;
  /** Time of the first-token target; infinite where it is missed already. */
  deadlineAtMs: number;
}

export interface Reservations {
  reserve(request: ReserveRequest, signal?: AbortSignal): Promise<ReserveReply>;
  cancel(reference: AttemptReference): void;
  heartbeat(heartbeat: Heartbeat): HeartbeatReply;
  detailsOf(attemptId: string): ReservationDetails | undefined;
  /** Memory that a request of this shape takes. */
  kvBytesOf(shape: MemoryShape): number;
  /** Call once the lease of an attempt has ended. */
  forget(attemptId: string): void;
}

/** Roles that serve each purpose. */
const rolesFor: Record<LeasePurpose, readonly WorkerRole[]> = {
  prefill: ['prefill', 'both'],
  decode: ['decode', 'both'],
  plain: ['plain'],
};

export function createReservations(options: ReservationsOptions): Reservations {
  const { table, admission, keeper, attempts, estimates, observer, load } = options;
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

  function refusalOf(request: ReserveRequest): AgentRefusal | undefined {
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
    return rolesFor[request.purpose].includes(role)
      ? undefined
      : refuse(agentRefusalReasons.wrongRole, `its role is ${role}`);
  }

  /** A message that was sent again, or that arrives after the attempt's cancellation. */
  function replyToKnown(request: ReserveRequest): ReserveReply | undefined {
    const phase = attempts.phaseOf(request.attemptId);
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
    const early = replyToKnown(request) ?? refusalOf(request);
    if (early !== undefined) {
      return early;
    }
    const { attemptId } = request;
    const startedAtMs = monotonicNowMs();
    attempts.reserved(attemptId);
    const outcome = await admission.reserve(toAdmission(request), signal);
    if (outcome.kind === 'refused') {
      attempts.forget(attemptId);
      const { reason, detail, retryAfterMs } = outcome;
      return refuse(reason, detail, true, retryAfterMs);
    }
    details.set(attemptId, {
      shape: shapeOf(request),
      deadlineAtMs:
        request.firstTokenDeadlineInMs > 0
          ? startedAtMs + request.firstTokenDeadlineInMs
          : Infinity,
    });
    observer.onReserved(request, monotonicNowMs() - startedAtMs, outcome.usableInMs);
    return granted(outcome.usableInMs);
  }

  function toAdmission(request: ReserveRequest): AdmissionRequest {
    const { entryId, entryIncarnation, origin } = request;
    return {
      attemptId: request.attemptId,
      owner: { entryId, entryIncarnation },
      purpose: request.purpose,
      institution: origin.institution,
      className: origin.className,
      kvBytes: kvBytesOf(request),
      neededInMs: request.neededInMs,
      expectedHoldMs: expectedHoldMs(request),
      waitLimitMs: request.waitLimitMs,
      firstTokenDeadlineInMs: request.firstTokenDeadlineInMs,
    };
  }

  /** A plain call takes one unit of a capacity that is counted in slots. */
  function kvBytesOf({ purpose, promptTokens, maxOutputTokens }: MemoryShape): number {
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
        return estimates.decodeHoldMs(shapeOf(request));
      default:
        return estimates.callMs();
    }
  }

  function cancel({ entryId, attemptId }: AttemptReference): void {
    const owner = table.get(attemptId)?.owner;
    if (owner !== undefined && owner.entryId !== entryId) {
      return;
    }
    attempts.cancelled(attemptId);
    admission.cancelWaiting(attemptId);
    keeper.giveUp(attemptId);
  }

  return {
    reserve,
    cancel,
    kvBytesOf,
    heartbeat: (heartbeat) => {
      const heldAttempts = table.renew(heartbeat, monotonicNowMs());
      return { incarnation: options.incarnation, heldAttempts, load: load() };
    },
    detailsOf: (attemptId) => details.get(attemptId),
    forget: (attemptId) => {
      details.delete(attemptId);
    },
  };
}

function shapeOf({ origin, promptTokens, maxOutputTokens }: ReserveRequest): WorkShape {
  return { className: origin.className, promptTokens, maxOutputTokens };
}
