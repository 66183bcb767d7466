/**
 * Tracks for how long backend servers asked this router to send no requests, as stated in their refusals. A later
 * request of a server may extend its backoff period and never shortens it: responses may arrive out of order, and each
 * period was requested on its own.
 */
import { createBoundedMap } from './boundedMap';

export interface BackoffPeriods {
  /** The server asks for a backoff of `forMs` from now on; true if it had none before. */
  note(serverId: string, forMs: number, nowMs: number): boolean;
  /** Time until the server's backoff period ends; 0 if it has none. */
  leftMs(serverId: string, nowMs: number): number;
  /** Number of servers in a backoff period. */
  count(nowMs: number): number;
}

/** A longer time is taken for a mistake: the server would not be used until this process restarts. */
export const maxBackoffMs = 3_600_000;
/** Periods are kept when their server is removed, since it may come back before they end. */
const maxServers = 4_096;

export function createBackoffPeriods(): BackoffPeriods {
  const endsAtMs = createBoundedMap<string, number>({ maxEntries: maxServers });

  function dropExpired(nowMs: number): void {
    [...endsAtMs.entries()]
      .filter(([, endMs]) => endMs <= nowMs)
      .forEach(([serverId]) => endsAtMs.delete(serverId));
  }

  function leftMs(serverId: string, nowMs: number): number {
    return Math.max(0, (endsAtMs.get(serverId) ?? -Infinity) - nowMs);
  }

  return {
    note(serverId, forMs, nowMs) {
      dropExpired(nowMs);
      const previousMs = leftMs(serverId, nowMs);
      const backoffMs = Math.max(previousMs, Math.min(forMs, maxBackoffMs));
      endsAtMs.set(serverId, nowMs + backoffMs);
      return previousMs === 0 && backoffMs > 0;
    },
    leftMs,
    count(nowMs) {
      dropExpired(nowMs);
      return endsAtMs.size();
    },
  };
}
