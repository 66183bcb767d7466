/**
 * Finds each model request the memory that its answer needs, before its prompt is read: a prefill without
 * a place to decode is wasted, and decode memory is what runs out first. Requests that find none wait in
 * order until a stream ends or their time is over.
 */
import {
  createBoundedMap,
  createPlacementAdmission,
  type OutlierDetector,
  type PlacementAdmission,
} from '@bluebellhitch/decisions';
import type { StreamOutlook } from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { BackendApi, CallOutcome, Reservation } from './backendApi';
import type { EngineLoads, PlacedStream } from './engineLoads';
import type { ServerPools } from './fleetPart';
import { stages, type BackendServer, type EngineSettings } from './model';
import { hasHeadroom, tightestPlace, type Place } from './placementChoice';
import { noLimits, type ServerPermits } from './serverLimits';
import { noWords, type ServerWords } from './serverWords';

export interface PlacementRequest {
  serviceName: string;
  engine: EngineSettings;
  stream: StreamOutlook;
  /** What the engine is asked to set aside. */
  reservedTokens: number;
  /** It has begun already: breaking it off loses the work done, so it goes first. */
  isResumed: boolean;
  /** 0 is the most urgent. */
  priority: number;
  arrivedAtMs: number;
  /** How long it is expected to hold its memory. */
  holdMs: number;
  /** Placed later than this it misses its target: it goes after those that can still meet theirs. */
  onTimeUntilMs: number;
  giveUpAtMs: number;
  /** Servers that have failed the request. */
  excludedIds: ReadonlySet<string>;
  /** The server to take if it has room. */
  preferredId?: string;
  signal: AbortSignal;
}

export interface Placement {
  reservation: Reservation;
  /** To be told of its progress, and released once the memory is free again. */
  stream: PlacedStream;
}

export type PlacementOutcome =
  | { kind: 'placed'; placement: Placement }
  /** Nothing has run. */
  | { kind: 'no-capacity'; retryAfterMs: number };

export interface DecodePlacement {
  place(request: PlacementRequest): Promise<PlacementOutcome>;
}

export interface DecodePlacementOptions {
  backend: Pick<BackendApi, 'reserve' | 'releaseReservation'>;
  pools: ServerPools;
  loads: EngineLoads;
  health: OutlierDetector;
  limits?: ServerPermits;
  words?: Pick<ServerWords, 'mayGet' | 'closedForMs' | 'isLeft'>;
  random?: Random;
}

interface Waiter extends PlacementRequest {
  isTrying: boolean;
  failedIds: Set<string>;
  /** Spare servers are unknown here: asking them takes the place of knowing. */
  nextSpareAtMs: number;
  resolve(outcome: PlacementOutcome): void;
}

/** Between looks at the pool while requests wait; others' streams end without a word to us. */
const lookAgainMs = 30;
/** An engine answers within a few milliseconds; one that does not is taken for gone. */
const reserveTimeoutMs = 500;
const maxServices = 512;
/** The reservation and the run: an engine in need counts what it is asked, not what it runs. */
const callsPerPlacement = 2;
/** With fewer of the own part's engines left than this, others' are worth asking without knowledge of them. */
const soundShare = 0.5;
/** Callers that were refused until one moment come back apart. */
const returnSpreadMs = 300;
/** Between two tries of one request at spare servers, so that a full fleet is not asked all the time. */
const spareRetryMs = 100;

/** The pools of one look, by service and kind: they are the same for all that wait. */
type PlacesOf = (waiter: Waiter, kind: 'usable' | 'spare') => readonly Place[];

export function createDecodePlacement(options: DecodePlacementOptions): DecodePlacement {
  const { backend, pools, loads, health, random = Math.random } = options;
  const { limits = noLimits, words = noWords } = options;
  /** By service: each has its own engines, and so its own line. */
  const admissions = createBoundedMap<string, PlacementAdmission>({ maxEntries: maxServices });
  const waiters = new Set<Waiter>();
  let timer: NodeJS.Timeout | undefined;

  function place(request: PlacementRequest): Promise<PlacementOutcome> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        ...request,
        isTrying: false,
        failedIds: new Set(),
        nextSpareAtMs: -Infinity,
        resolve,
      };
      waiters.add(waiter);
      request.signal.addEventListener('abort', () => refuse(waiter), { once: true });
      look();
      refuseIfHopeless(waiter);
    });
  }

  function finish(waiter: Waiter, outcome: PlacementOutcome): void {
    if (waiters.delete(waiter)) {
      waiter.resolve(outcome);
    }
  }

  function admissionOf({ serviceName }: Waiter): PlacementAdmission {
    return admissions.getOrCreate(serviceName, () => createPlacementAdmission({ random }));
  }

  function refuse(waiter: Waiter): void {
    // Callers also leave long after they were placed.
    if (!waiters.has(waiter)) {
      return;
    }
    const refused = { aheadCount: aheadOf(waiter), holdMs: waiter.holdMs };
    const retryAfterMs = admissionOf(waiter).retryAfterMs(refused, monotonicNowMs());
    finish(waiter, { kind: 'no-capacity', retryAfterMs });
  }

  /** A new request that will not be served in time learns it now. One that has begun already stays in any case. */
  function refuseIfHopeless(waiter: Waiter): void {
    if (waiter.isTrying || waiter.isResumed || !waiters.has(waiter)) {
      return;
    }
    const nowMs = monotonicNowMs();
    const slackMs = waiter.onTimeUntilMs - nowMs;
    const decision = admissionOf(waiter).decide({ slackMs, aheadCount: aheadOf(waiter) }, nowMs);
    if (decision.kind === 'refuse') {
      refuse(waiter);
    }
  }

  /** By their own words no engine takes anything in the request's time. */
  function refuseIfClosed(waiter: Waiter, nowMs: number): boolean {
    const restMs = words.closedForMs(waiter.serviceName, stages.decode);
    if (restMs !== undefined && nowMs + restMs >= waiter.giveUpAtMs) {
      finish(waiter, { kind: 'no-capacity', retryAfterMs: restMs + returnSpreadMs * random() });
    } else if (words.isLeft(waiter.serviceName)) {
      refuse(waiter);
    }
    return !waiters.has(waiter);
  }

  /** In the order in which they are tried. */
  function inOrder(nowMs: number): Waiter[] {
    return [...waiters].sort((left, right) => compareWaiters(left, right, nowMs));
  }

  function aheadOf(waiter: Waiter): number {
    const line = inOrder(monotonicNowMs()).filter(
      ({ serviceName }) => serviceName === waiter.serviceName,
    );
    return Math.max(0, line.indexOf(waiter));
  }

  /** Tries every waiting request in its order. */
  function look(): void {
    clearTimeout(timer);
    const nowMs = monotonicNowMs();
    const placesOf = lookAtPools(nowMs);
    inOrder(nowMs)
      .filter(({ isTrying }) => !isTrying)
      .forEach((waiter) => tryToPlace(waiter, nowMs, placesOf));
    timer = waiters.size === 0 ? undefined : setTimeout(look, lookAgainMs);
  }

  function lookAtPools(nowMs: number): PlacesOf {
    const ejected = health.ejected(nowMs);
    const known = new Map<string, readonly Place[]>();
    return ({ serviceName, engine }, kind) => {
      const key = `${kind} ${serviceName}`;
      const places =
        known.get(key) ??
        pools[kind](serviceName, stages.decode)
          .filter(({ id }) => !ejected.has(id) && !loads.isSilent(id))
          .map((server) => ({ server, memory: loads.forecast(server.id, engine.kvTokens) }));
      known.set(key, places);
      return places;
    };
  }

  function tryToPlace(waiter: Waiter, nowMs: number, placesOf: PlacesOf): void {
    if (waiter.giveUpAtMs <= nowMs || waiter.signal.aborted) {
      refuse(waiter);
      return;
    }
    const places = placesOf(waiter, 'usable').filter((one) => mayUse(waiter, one));
    if (places.length === 0 && refuseIfClosed(waiter, nowMs)) {
      return;
    }
    const isWelcome =
      isUrgent(waiter, nowMs) ||
      hasHeadroom(places, { stream: waiter.stream, engineTokens: waiter.engine.kvTokens });
    const chosen = isWelcome
      ? (tightestPlace(places, { ...waiter, random }) ?? trySpare(waiter, nowMs, placesOf))
      : undefined;
    if (chosen !== undefined) {
      chosen.memory.add(waiter.stream);
      void reserveAt(chosen.server, waiter);
    } else if (!isUrgent(waiter, nowMs)) {
      refuse(waiter);
    }
  }

  function mayUse({ failedIds, excludedIds, reservedTokens }: Waiter, { server }: Place): boolean {
    const hasFailed = failedIds.has(server.id) || excludedIds.has(server.id);
    return (
      !hasFailed &&
      !loads.isFullFor(server.id, reservedTokens) &&
      limits.mayTake(server.id, callsPerPlacement)
    );
  }

  /**
   * Engines of another part, where most of the own ones have failed. Not where those are only full: what others have
   * placed there is unknown, so such streams are paused and pause others. In replays of 68 routers that took spare
   * engines when full, 84 of 2,981 streams were paused and 17% of reservations turned away; now 27 and 2%, and 2% more
   * are on time.
   */
  function trySpare(waiter: Waiter, nowMs: number, placesOf: PlacesOf): Place | undefined {
    if (nowMs < waiter.nextSpareAtMs || !hasLostPart(waiter, placesOf)) {
      return undefined;
    }
    waiter.nextSpareAtMs = nowMs + spareRetryMs;
    const places = placesOf(waiter, 'spare').filter((one) => mayUse(waiter, one));
    return tightestPlace(places, { ...waiter, random });
  }

  function hasLostPart(waiter: Waiter, placesOf: PlacesOf): boolean {
    const listed = pools.usable(waiter.serviceName, stages.decode).length;
    return listed === 0 || placesOf(waiter, 'usable').length < soundShare * listed;
  }

  function isUrgent({ isResumed, onTimeUntilMs }: Waiter, nowMs: number): boolean {
    return isResumed || onTimeUntilMs >= nowMs;
  }

  async function reserveAt(server: BackendServer, waiter: Waiter): Promise<void> {
    waiter.isTrying = true;
    limits.take(server.id, callsPerPlacement);
    const stream = loads.place(server.id, waiter.stream);
    const outcome = await backend.reserve(server, {
      tokens: waiter.reservedTokens,
      lifetimeMs: waiter.engine.reservationLimitMs,
      timeoutMs: reserveTimeoutMs,
      signal: waiter.signal,
    });
    waiter.isTrying = false;
    if (outcome.kind === 'done') {
      loads.noteContact(server.id);
      health.record(server.id, 'success', monotonicNowMs());
    }
    if (outcome.kind === 'done' && words.mayGet(server)) {
      admissionOf(waiter).notePlaced(monotonicNowMs());
      hand(waiter, { reservation: outcome.value, stream: lookAfter(stream) });
      return;
    }
    stream.release();
    if (outcome.kind === 'done') {
      // The very answer may have said that the engine leaves: a prompt would be read for nothing.
      backend.releaseReservation(outcome.value);
      waiter.failedIds.add(server.id);
    } else {
      noteNotReserved(server, waiter, outcome);
    }
    look();
  }

  function noteNotReserved(
    { id }: BackendServer,
    { failedIds, reservedTokens, signal }: Waiter,
    outcome: Exclude<CallOutcome<Reservation>, { kind: 'done' }>,
  ): void {
    const cause = outcome.kind === 'not-run' ? outcome.cause.kind : outcome.kind;
    if (cause === 'rejected') {
      loads.noteFull(id, reservedTokens);
      return;
    }
    failedIds.add(id);
    if (cause === 'other-server') {
      loads.noteSilent(id);
    }
    const isOurDoing = outcome.kind === 'lost' && outcome.isOurs && signal.aborted;
    if (cause !== 'withheld' && !isOurDoing) {
      health.record(id, 'failure', monotonicNowMs());
    }
  }

  function hand(waiter: Waiter, placement: Placement): void {
    if (waiters.has(waiter)) {
      finish(waiter, { kind: 'placed', placement });
    } else {
      backend.releaseReservation(placement.reservation);
      placement.stream.release();
    }
  }

  /** Memory that becomes free is offered to those that wait. */
  function lookAfter(stream: PlacedStream): PlacedStream {
    return {
      ...stream,
      release() {
        stream.release();
        if (waiters.size > 0) {
          look();
        }
      },
    };
  }

  return { place };
}

function compareWaiters(left: Waiter, right: Waiter, nowMs: number): number {
  return (
    Number(right.isResumed) - Number(left.isResumed) ||
    Number(left.onTimeUntilMs < nowMs) - Number(right.onTimeUntilMs < nowMs) ||
    left.priority - right.priority ||
    left.arrivedAtMs - right.arrivedAtMs
  );
}
