/**
 * Reserves decode memory for a model request before its prompt is prefilled: a prefill without decode memory is
 * wasted, and decode memory is the first resource to run out. Requests that cannot be placed wait in a priority queue
 * until memory is released or their time is up.
 */
import type { OutlierDetector } from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { BackendApi, CallOutcome, Reservation } from '../backendApi';
import { stages, type BackendServer } from '../model';
import type { DecodePaces } from './decodePaces';
import { callsPerPlacement, createEngineChoice, type SeekingRequest } from './engineChoice';
import type { EngineLoads, PlacedStream } from './engineLoads';
import { createFailedEngines } from './failedEngines';
import type { ServerPools } from './fleetShard';
import {
  createCandidateLookup,
  hasLostItsVersion,
  type CandidateRequest,
  type CandidatesOf,
} from './placementCandidates';
import { hasHeadroom } from './placementChoice';
import { createPlacementQueue, isOnTime, type QueuedRequest } from './placementQueue';
import { noLimits, type ServerPermits } from './serverLimits';
import { noNotices, type ServerNotices } from './serverNotices';
import { createReserveMemory, type ReservationOutcome } from './reservationCalls';
import { unresponsiveCauses } from './unresponsiveEngines';

export interface PlacementRequest extends QueuedRequest, CandidateRequest {
  stream: StreamEstimate;
  /** Tokens to reserve on the engine. */
  reservedTokens: number;
  /** Target between two events of the stream. */
  targetGapMs?: number;
  /** Slowest pace, in ms per event, at which the stream is expected to end in time. */
  maxPaceMs?: number;
  expiresAtMs: number;
  /** Servers that have already failed this request. */
  excludedIds: ReadonlySet<string>;
  /** The server to use if it has enough memory. */
  preferredId?: string;
  /** The request is placed at once, on an engine of this router's shard, or not at all. */
  isImmediate?: boolean;
  signal: AbortSignal;
}

export interface Placement {
  reservation: Reservation;
  /** Update it as tokens are emitted, and release it once the memory is free again. */
  stream: PlacedStream;
}

export type PlacementOutcome =
  | { kind: 'placed'; placement: Placement }
  /** The request has not run anywhere. */
  | { kind: 'no-capacity'; retryAfterMs: number }
  /** No server of the software version that has begun the stream is left. */
  | { kind: 'no-version' };

export interface DecodePlacement {
  place(request: PlacementRequest): Promise<PlacementOutcome>;
}

export interface DecodePlacementOptions {
  backend: Pick<BackendApi, 'reserve' | 'releaseReservation'>;
  pools: ServerPools;
  loads: EngineLoads;
  health: OutlierDetector;
  limits?: ServerPermits;
  notices?: Pick<ServerNotices, 'isAccepting' | 'allBackoffLeftMs' | 'areAllLeaving'>;
  /** If absent, engines count as equally fast. */
  paces?: Pick<DecodePaces, 'fastEnough'>;
  /** Called for each request that is placed before more urgent ones because it had waited long. */
  onOvertaking?: (serviceName: string) => void;
  random?: Random;
}

interface Waiter extends SeekingRequest {
  isReserving: boolean;
  resolve(outcome: PlacementOutcome): void;
}

/** Retry interval while requests wait: other routers' streams end without notifying this one. */
const retryIntervalMs = 30;
/** An engine answers within a few milliseconds; one that does not is considered down. */
const reserveTimeoutMs = 500;
const minReserveTimeoutMs = 50;
/** Spreads the retries of callers that were told to wait for the same moment. */
const retryAfterJitterMs = 300;

export function createDecodePlacement(options: DecodePlacementOptions): DecodePlacement {
  const { backend, pools, loads, health, paces, random = Math.random } = options;
  const { limits = noLimits, notices = noNotices, onOvertaking = () => undefined } = options;
  const queue = createPlacementQueue<Waiter>({ random });
  const reserveMemory = createReserveMemory(backend);
  const choice = createEngineChoice({ pools, loads, limits, paces, random });
  let timer: NodeJS.Timeout | undefined;

  function place(request: PlacementRequest): Promise<PlacementOutcome> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        ...request,
        isReserving: false,
        failed: createFailedEngines(),
        nextSpareAttemptAtMs: -Infinity,
        resolve,
      };
      queue.add(waiter);
      request.signal.addEventListener('abort', () => refuse(waiter), { once: true });
      tryWaiters();
      refuseIfTooLate(waiter);
      refuseIfImmediate(waiter);
    });
  }

  function finish(waiter: Waiter, outcome: PlacementOutcome): void {
    if (queue.remove(waiter)) {
      waiter.resolve(outcome);
    }
  }

  function refuse(waiter: Waiter): void {
    // The abort signal may also fire long after the request was placed.
    if (queue.has(waiter)) {
      const retryAfterMs = queue.retryAfterMs(waiter, monotonicNowMs());
      finish(waiter, { kind: 'no-capacity', retryAfterMs });
    }
  }

  function refuseIfImmediate(waiter: Waiter): void {
    if (waiter.isImmediate === true && !waiter.isReserving) {
      refuse(waiter);
    }
  }

  function refuseIfTooLate(waiter: Waiter): void {
    const isWaiting = queue.has(waiter) && !waiter.isReserving;
    if (isWaiting && queue.isTooLate(waiter, monotonicNowMs())) {
      refuse(waiter);
    }
  }

  /** Refuses the request if, by the engines' own notices, none of them will accept work before it expires. */
  function refuseIfNoneAccepting(waiter: Waiter, nowMs: number): boolean {
    const backoffMs = notices.allBackoffLeftMs(waiter.serviceName, stages.decode);
    if (backoffMs !== undefined && nowMs + backoffMs >= waiter.expiresAtMs) {
      finish(waiter, {
        kind: 'no-capacity',
        retryAfterMs: backoffMs + retryAfterJitterMs * random(),
      });
    } else if (notices.areAllLeaving(waiter.serviceName)) {
      refuse(waiter);
    }
    return !queue.has(waiter);
  }

  /** Tries to place every waiting request, in queue order. */
  function tryWaiters(): void {
    clearTimeout(timer);
    const nowMs = monotonicNowMs();
    const candidatesOf = createCandidateLookup(options, nowMs);
    queue
      .sorted(nowMs)
      .filter(({ isReserving }) => !isReserving)
      .forEach((waiter) => tryToPlace(waiter, nowMs, candidatesOf));
    timer = queue.size() === 0 ? undefined : setTimeout(tryWaiters, retryIntervalMs);
  }

  function tryToPlace(waiter: Waiter, nowMs: number, candidatesOf: CandidatesOf): void {
    if (waiter.expiresAtMs <= nowMs || waiter.signal.aborted) {
      refuse(waiter);
      return;
    }
    if (hasLostItsVersion(waiter, pools)) {
      finish(waiter, { kind: 'no-version' });
      return;
    }
    const candidates = choice.candidates(waiter, candidatesOf);
    if (candidates.length === 0 && refuseIfNoneAccepting(waiter, nowMs)) {
      return;
    }
    const isAdmitted =
      isOnTime(waiter, nowMs) ||
      hasHeadroom(candidates, { stream: waiter.stream, engineTokens: waiter.engine.kvTokens });
    const candidate = isAdmitted
      ? choice.choose(waiter, candidates, { nowMs, candidatesOf })
      : undefined;
    if (candidate !== undefined) {
      candidate.memory.add(waiter.stream);
      void reserveAt(candidate.server, waiter);
    } else if (!isOnTime(waiter, nowMs)) {
      refuse(waiter);
    }
  }

  async function reserveAt(server: BackendServer, waiter: Waiter): Promise<void> {
    waiter.isReserving = true;
    limits.take(server.id, callsPerPlacement);
    const stream = loads.place(server.id, waiter.stream);
    const outcome = await reserveMemory(server, {
      tokens: waiter.reservedTokens,
      lifetimeMs: waiter.engine.reservationLimitMs,
      timeoutMs: timeoutMsFor(waiter, server),
      signal: waiter.signal,
      onLate: (late) => handleLate(server, waiter, late),
    });
    waiter.isReserving = false;
    if (outcome.kind === 'done') {
      loads.noteContact(server.id);
      health.record(server.id, 'success', monotonicNowMs());
    }
    if (outcome.kind === 'done' && notices.isAccepting(server)) {
      notePlaced(waiter);
      deliver(waiter, { reservation: outcome.value, stream: retryWaitersOnRelease(stream) });
      return;
    }
    stream.release();
    if (outcome.kind === 'done') {
      // This response may itself have announced that the engine is leaving; a prefill would then be wasted.
      backend.releaseReservation(outcome.value);
      waiter.failed.noteFailed(server.id);
    } else {
      noteReservationFailure(server, waiter, outcome);
    }
    refuseIfImmediate(waiter);
    tryWaiters();
  }

  /** A new request must be refused in time, also if an engine that is tried in spite of its failures fails again. */
  function timeoutMsFor({ failed, isResumed, latestStartAtMs }: Waiter, { id }: BackendServer) {
    const nowMs = monotonicNowMs();
    const isDoubtful = failed.hasTimedOut(id) || health.ejected(nowMs).has(id);
    return isDoubtful && !isResumed
      ? Math.min(reserveTimeoutMs, Math.max(minReserveTimeoutMs, latestStartAtMs - nowMs))
      : reserveTimeoutMs;
  }

  /** A silent engine has gone on. The request may still wait for it, run at another engine, or have been refused. */
  function handleLate(
    server: BackendServer,
    waiter: Waiter,
    outcome: CallOutcome<Reservation>,
  ): void {
    waiter.failed.noteLateAnswer(server.id);
    if (outcome.kind === 'done') {
      loads.noteContact(server.id);
      health.record(server.id, 'success', monotonicNowMs());
      if (queue.has(waiter) && !waiter.isReserving && notices.isAccepting(server)) {
        const stream = loads.place(server.id, waiter.stream);
        notePlaced(waiter);
        deliver(waiter, {
          reservation: outcome.value,
          stream: retryWaitersOnRelease(stream),
        });
      } else {
        backend.releaseReservation(outcome.value);
      }
    } else if (outcome.kind === 'not-run' && outcome.cause.kind === 'rejected') {
      loads.noteContact(server.id);
    }
    tryWaiters();
  }

  /** An immediate request has been placed before, so that it is not counted again. */
  function notePlaced(waiter: Waiter): void {
    if (waiter.isImmediate !== true && queue.notePlaced(waiter, monotonicNowMs())) {
      onOvertaking(waiter.serviceName);
    }
  }

  function noteReservationFailure(
    { id }: BackendServer,
    { failed, reservedTokens, signal }: Waiter,
    outcome: Exclude<ReservationOutcome, { kind: 'done' }>,
  ): void {
    const cause = outcome.kind === 'not-run' ? outcome.cause.kind : outcome.kind;
    if (cause === 'rejected') {
      loads.noteFull(id, reservedTokens);
      return;
    }
    if (cause === 'late') {
      failed.notePending(id, monotonicNowMs());
    } else if (outcome.kind === 'lost' && outcome.isOurs) {
      failed.noteTimedOut(id, monotonicNowMs());
    } else {
      failed.noteFailed(id);
    }
    if (cause === 'other-server') {
      loads.noteUnresponsive(id, unresponsiveCauses.otherServer);
    }
    const wasAbortedLocally = outcome.kind === 'lost' && outcome.isOurs && signal.aborted;
    if (cause !== 'withheld' && !wasAbortedLocally) {
      health.record(id, 'failure', monotonicNowMs());
    }
  }

  function deliver(waiter: Waiter, placement: Placement): void {
    if (queue.has(waiter)) {
      finish(waiter, { kind: 'placed', placement });
    } else {
      backend.releaseReservation(placement.reservation);
      placement.stream.release();
    }
  }

  /** Wraps a placed stream so that waiting requests are retried when its memory is released. */
  function retryWaitersOnRelease(stream: PlacedStream): PlacedStream {
    return {
      ...stream,
      release() {
        stream.release();
        if (queue.size() > 0) {
          tryWaiters();
        }
      },
    };
  }

  return { place };
}
