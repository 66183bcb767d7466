/** What backend servers' answers say of the requests a second that each takes from all routers together. */
import type { Logger } from '@bluebellhitch/telemetry';
import type { LimitWord } from './backendApi';
import type { BackendServer } from './model';

export interface ServerLimitsOptions {
  /** Told how many servers name a limit, when that changes. */
  onCount?: (limitedServers: number) => void;
  logger: Logger;
}

export interface ServerLimits {
  /** An answer of the server has said so. */
  note(server: BackendServer, word: LimitWord): void;
  forget(serverId: string): void;
}

export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { onCount = () => undefined, logger } = options;
  const limits = new Map<string, number>();
  /** Servers whose last word could not be read: each answer would be a line of the log. */
  const unreadableIds = new Set<string>();

  function set({ id, serviceName }: BackendServer, requestsPerSecond: number | undefined): void {
    const before = limits.get(id);
    unreadableIds.delete(id);
    if (requestsPerSecond === before) {
      return;
    }
    if (requestsPerSecond === undefined) {
      limits.delete(id);
    } else {
      limits.set(id, requestsPerSecond);
    }
    logger.info('server limit', { id, serviceName, requestsPerSecond, before });
    onCount(limits.size);
  }

  function noteUnreadable(id: string, text: string): void {
    if (!unreadableIds.has(id)) {
      unreadableIds.add(id);
      logger.warn('server limit unreadable', { id, text });
    }
  }

  return {
    note(server, word) {
      switch (word.kind) {
        case 'named':
          set(server, word.requestsPerSecond);
          break;
        case 'none':
          set(server, undefined);
          break;
        case 'unreadable':
          noteUnreadable(server.id, word.text);
          break;
      }
    },
    forget(serverId) {
      unreadableIds.delete(serverId);
      if (limits.delete(serverId)) {
        onCount(limits.size);
      }
    },
  };
}
