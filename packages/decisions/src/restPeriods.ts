/**
 * How long backend servers want nothing from this router, as they have said when they turned it away. A server's later
 * word may prolong its rest and never shortens it: answers overtake each other, and each rest was asked for by itself.
 */
import { createBoundedMap } from './boundedMap';

export interface RestPeriods {
  /** The server asks for so long a rest from now on; true where it was not resting. */
  note(serverId: string, forMs: number, nowMs: number): boolean;
  /** Until the server's rest ends; 0 where it does not rest. */
  leftMs(serverId: string, nowMs: number): number;
  /** Servers that rest now. */
  count(nowMs: number): number;
}

/** A longer time is taken for a mistake: it would take the server out of use until this process starts again. */
export const longestRestMs = 3_600_000;
/** Rests are kept when their server's entry goes, for it may come back while they last. */
const maxServers = 4_096;

export function createRestPeriods(): RestPeriods {
  const endsAtMs = createBoundedMap<string, number>({ maxEntries: maxServers });

  function forgetEnded(nowMs: number): void {
    [...endsAtMs.entries()]
      .filter(([, endMs]) => endMs <= nowMs)
      .forEach(([serverId]) => endsAtMs.delete(serverId));
  }

  function leftMs(serverId: string, nowMs: number): number {
    return Math.max(0, (endsAtMs.get(serverId) ?? -Infinity) - nowMs);
  }

  return {
    note(serverId, forMs, nowMs) {
      forgetEnded(nowMs);
      const beforeMs = leftMs(serverId, nowMs);
      const restMs = Math.max(beforeMs, Math.min(forMs, longestRestMs));
      endsAtMs.set(serverId, nowMs + restMs);
      return beforeMs === 0 && restMs > 0;
    },
    leftMs,
    count(nowMs) {
      forgetEnded(nowMs);
      return endsAtMs.size();
    },
  };
}
