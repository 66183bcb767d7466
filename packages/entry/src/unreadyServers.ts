/**
 * Servers that recently reported or showed that they cannot serve: their engine restarts, or the backend
 * server has died while its agent runs. Such a server replies faster than any other and would be given
 * every request again, so it is skipped for a time that doubles while it stays unready. This is only a
 * preference: if no other server is left, it is asked nevertheless.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export interface UnreadyServersOptions {
  /** How long a server is skipped the first time, in ms. */
  holdMs?: number;
  maxHoldMs?: number;
  maxServers?: number;
}

export interface UnreadyServers {
  mark(instanceId: string, nowMs: number): void;
  /** Call it when the server has served a request again. */
  clear(instanceId: string): void;
  current(nowMs: number): string[];
}

interface Hold {
  untilMs: number;
  durationMs: number;
}

/** Creates an empty set. */
export function createUnreadyServers(options: UnreadyServersOptions = {}): UnreadyServers {
  const { holdMs = 1_000, maxHoldMs = 8_000, maxServers = 1_024 } = options;
  const holds = createBoundedMap<string, Hold>({ maxEntries: maxServers });
  return {
    mark(instanceId, nowMs) {
      const known = holds.get(instanceId);
      if (known !== undefined && nowMs < known.untilMs) {
        return;
      }
      const durationMs = Math.min(maxHoldMs, known === undefined ? holdMs : known.durationMs * 2);
      holds.set(instanceId, { untilMs: nowMs + durationMs, durationMs });
    },
    clear: (instanceId) => {
      holds.delete(instanceId);
    },
    current: (nowMs) =>
      [...holds.entries()].filter(([, { untilMs }]) => nowMs < untilMs).map(([id]) => id),
  };
}
