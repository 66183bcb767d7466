/**
 * Servers that just said, or showed, that they cannot work now: their engine restarts, or their backend
 * server is gone while the agent lives. Such a server answers fastest of all and would get every request
 * again; it is left out for a time that doubles while it stays like that. A preference only: where no
 * other server is left, it is asked all the same.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export interface UnreadyServersOptions {
  /** First time that a server is left out. */
  holdMs?: number;
  maxHoldMs?: number;
  maxServers?: number;
}

export interface UnreadyServers {
  mark(instanceId: string, nowMs: number): void;
  /** The server has worked again. */
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
