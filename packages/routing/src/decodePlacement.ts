/**
 * Finds each model request the memory that its answer needs, before its prompt is read: a prefill without
 * a place to decode is wasted, and decode memory is what runs out first. Requests that find none wait in
 * order until a stream ends or their time is over.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { OutlierDetector } from '@bluebellhitch/decisions';
import type { BackendApi, Reservation } from './backendApi';
import type { EngineLoads } from './engineLoads';
import { stages, type BackendServer, type EngineSettings } from './model';
import type { ServerDirectory } from './serverDirectory';

export interface PlacementRequest {
  serviceName: string;
  engine: EngineSettings;
  /** Prompt and expected output together. */
  tokens: number;
  /** It has begun already: breaking it off loses the work done, so it goes first. */
  isResumed: boolean;
  /** 0 is the most urgent. */
  priority: number;
  arrivedAtMs: number;
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
  /** To be called once the memory is free again. */
  release(): void;
}

export type PlacementOutcome = { kind: 'placed'; placement: Placement } | { kind: 'no-capacity' };

export interface DecodePlacement {
  place(request: PlacementRequest): Promise<PlacementOutcome>;
}

export interface DecodePlacementOptions {
  backend: Pick<BackendApi, 'reserve' | 'releaseReservation'>;
  directory: ServerDirectory;
  loads: EngineLoads;
  health: OutlierDetector;
}

interface Waiter extends PlacementRequest {
  isTrying: boolean;
  failedIds: Set<string>;
  resolve(outcome: PlacementOutcome): void;
}

/** Between looks at the pool while requests wait; others' streams end without a word to us. */
const lookAgainMs = 30;
/** Part of the pool that stays free of late requests. */
const lateHeadroomShare = 0.2;
/** An engine answers within a few milliseconds; one that does not is taken for gone. */
const reserveTimeoutMs = 500;

export function createDecodePlacement(options: DecodePlacementOptions): DecodePlacement {
  const { backend, directory, loads, health } = options;
  const waiters = new Set<Waiter>();
  let timer: NodeJS.Timeout | undefined;

  function place(request: PlacementRequest): Promise<PlacementOutcome> {
    return new Promise((resolve) => {
      const waiter: Waiter = { ...request, isTrying: false, failedIds: new Set(), resolve };
      waiters.add(waiter);
      request.signal.addEventListener('abort', () => finish(waiter, { kind: 'no-capacity' }), {
        once: true,
      });
      look();
    });
  }

  function finish(waiter: Waiter, outcome: PlacementOutcome): void {
    if (waiters.delete(waiter)) {
      waiter.resolve(outcome);
    }
  }

  /** Tries every waiting request in its order. */
  function look(): void {
    clearTimeout(timer);
    const nowMs = monotonicNowMs();
    [...waiters]
      .filter(({ isTrying }) => !isTrying)
      .sort((left, right) => compareWaiters(left, right, nowMs))
      .forEach((waiter) => tryToPlace(waiter, nowMs));
    timer = waiters.size === 0 ? undefined : setTimeout(look, lookAgainMs);
  }

  function tryToPlace(waiter: Waiter, nowMs: number): void {
    if (waiter.giveUpAtMs <= nowMs || waiter.signal.aborted) {
      finish(waiter, { kind: 'no-capacity' });
      return;
    }
    const servers = candidates(waiter, nowMs);
    if (servers.length === 0) {
      return;
    }
    const server = roomiest(servers, waiter);
    if (server !== undefined && (isUrgent(waiter, nowMs) || hasHeadroom(servers, waiter))) {
      void reserveAt(server, waiter);
    }
  }

  function isUrgent({ isResumed, onTimeUntilMs }: Waiter, nowMs: number): boolean {
    return isResumed || onTimeUntilMs >= nowMs;
  }

  function candidates(waiter: Waiter, nowMs: number): BackendServer[] {
    const ejected = health.ejected(nowMs);
    return directory
      .usable(waiter.serviceName, stages.decode)
      .filter(({ id }) => !ejected.has(id) && !loads.isSilent(id))
      .filter(({ id }) => !waiter.failedIds.has(id) && !waiter.excludedIds.has(id));
  }

  /** A late answer earns little: it must not take the memory that answers on time will need. */
  function hasHeadroom(servers: readonly BackendServer[], waiter: Waiter): boolean {
    const { kvTokens } = waiter.engine;
    const free = servers.reduce(
      (sum, server) => sum + Math.max(0, loads.freeTokens(server.id, kvTokens)),
      0,
    );
    return free - waiter.tokens >= lateHeadroomShare * kvTokens * servers.length;
  }

  function roomiest(servers: readonly BackendServer[], waiter: Waiter): BackendServer | undefined {
    const { kvTokens } = waiter.engine;
    const free = servers.map((server) => ({
      server,
      tokens: loads.freeTokens(server.id, kvTokens),
    }));
    const preferred = free.find(({ server }) => server.id === waiter.preferredId);
    if (preferred !== undefined && preferred.tokens >= waiter.tokens) {
      return preferred.server;
    }
    const best = free.reduce((left, right) => (right.tokens > left.tokens ? right : left));
    return best.tokens >= waiter.tokens ? best.server : undefined;
  }

  async function reserveAt(server: BackendServer, waiter: Waiter): Promise<void> {
    waiter.isTrying = true;
    const release = loads.place(server.id, waiter.tokens);
    const outcome = await backend.reserve(server, {
      tokens: waiter.tokens,
      lifetimeMs: waiter.engine.reservationLimitMs,
      timeoutMs: reserveTimeoutMs,
      signal: waiter.signal,
    });
    waiter.isTrying = false;
    if (outcome.kind === 'done') {
      loads.noteContact(server.id);
      health.record(server.id, 'success', monotonicNowMs());
      hand(waiter, { reservation: outcome.value, release: releaseAndLook(release) });
      return;
    }
    release();
    if (outcome.kind === 'not-run' && outcome.cause.kind === 'rejected') {
      loads.noteFull(server.id, waiter.tokens);
    } else {
      waiter.failedIds.add(server.id);
      if (outcome.kind !== 'lost' || !outcome.isOurs || !waiter.signal.aborted) {
        health.record(server.id, 'failure', monotonicNowMs());
      }
    }
    look();
  }

  function hand(waiter: Waiter, placement: Placement): void {
    if (waiters.has(waiter)) {
      finish(waiter, { kind: 'placed', placement });
    } else {
      backend.releaseReservation(placement.reservation);
      placement.release();
    }
  }

  function releaseAndLook(release: () => void): () => void {
    return () => {
      release();
      if (waiters.size > 0) {
        look();
      }
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
