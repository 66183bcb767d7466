/** Applies the notices that backend servers send in their responses, and records them in log and metrics. */
import { createBoundedMap, createRestPeriods } from '@bluebellhitch/decisions';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { ServerWord } from './backendApi';
import type { ServerPools } from './fleetPart';
import type { BackendServer, Stage } from './model';
import type { ServerDirectory } from './serverDirectory';
import type { ServerLimits } from './serverLimits';

export interface ServerWordsOptions {
  directory: Pick<ServerDirectory, 'get' | 'all' | 'usable' | 'noteLeaving'>;
  limits: Pick<ServerLimits, 'note'>;
  /** Called for each notice except `no-limit`, which nearly all responses carry. */
  onWord?: (kind: ServerWord['kind']) => void;
  logger: Logger;
}

export interface ServerWords {
  /** Applies the notices of one response of the server. */
  note(server: BackendServer, notices: readonly ServerWord[]): void;
  /** Whether this incarnation of the server takes requests: it is listed, not leaving and not in backoff. */
  mayGet(server: Pick<BackendServer, 'id'>): boolean;
  /** Time until the server's backoff ends, during which it wants no requests at all; 0 without one. */
  restLeftMs(serverId: string): number;
  /**
   * Time until the first backoff ends among the service's servers that are not leaving; undefined unless all of them
   * are in backoff. `stage` restricts this to engines of that stage.
   */
  closedForMs(serviceName: string, stage?: Stage): number | undefined;
  /** Whether servers of the service are listed and all of them are leaving. */
  isLeft(serviceName: string): boolean;
}

/** Stands in where servers send no notices. */
export const noWords: Pick<ServerWords, 'mayGet' | 'closedForMs' | 'isLeft'> = {
  mayGet: () => true,
  closedForMs: () => undefined,
  isLeft: () => false,
};

/** Bounds the memory of logged notices: without it each response would repeat the log line. */
const maxRemembered = 4_096;

export function createServerWords(options: ServerWordsOptions): ServerWords {
  const { directory, limits, onWord = () => undefined, logger } = options;
  const backoffs = createRestPeriods();
  const logged = createBoundedMap<string, true>({ maxEntries: maxRemembered });

  /** Whether this is the server's first notice of this kind. */
  function isFirstNotice(serverId: string, what: string): boolean {
    const key = `${what} ${serverId}`;
    const isFirst = !logged.has(key);
    logged.set(key, true);
    return isFirst;
  }

  function applyNotice({ id, serviceName }: BackendServer, notice: ServerWord): void {
    switch (notice.kind) {
      case 'limit':
        limits.note({ id, serviceName }, notice.requestsPerSecond);
        break;
      case 'no-limit':
        limits.note({ id, serviceName });
        break;
      case 'leaving':
        if (isFirstNotice(id, 'leaving')) {
          logger.info('server leaving', { id, serviceName });
        }
        directory.noteLeaving({ id });
        break;
      case 'rest':
        if (backoffs.note(id, notice.forMs, monotonicNowMs())) {
          logger.info('server rest', { id, serviceName, forMs: Math.round(notice.forMs) });
        }
        break;
      case 'unreadable':
        if (isFirstNotice(id, notice.about)) {
          logger.warn(`server ${notice.about} unreadable`, { id, text: notice.text });
        }
        break;
      default:
        assertNever(notice);
    }
  }

  const restLeftMs = (serverId: string) => backoffs.leftMs(serverId, monotonicNowMs());

  return {
    note(server, notices) {
      notices.forEach((notice) => {
        if (notice.kind !== 'no-limit') {
          onWord(notice.kind);
        }
        applyNotice(server, notice);
      });
    },
    mayGet: ({ id }) => directory.get(id)?.isDraining === false && restLeftMs(id) === 0,
    restLeftMs,
    closedForMs(serviceName, stage) {
      const leftMs = directory.usable(serviceName, stage).map(({ id }) => restLeftMs(id));
      const soonestMs = Math.min(...leftMs);
      return leftMs.length > 0 && soonestMs > 0 ? soonestMs : undefined;
    },
    isLeft(serviceName) {
      const listed = directory.all().filter((server) => server.serviceName === serviceName);
      return listed.length > 0 && listed.every(({ isDraining }) => isDraining);
    },
  };
}

/** The pools without servers that are in backoff. */
export function createWillingPools(
  pools: ServerPools,
  { restLeftMs }: Pick<ServerWords, 'restLeftMs'>,
): ServerPools {
  const isAvailable = ({ id }: BackendServer) => restLeftMs(id) === 0;
  return {
    usable: (serviceName, stage) => pools.usable(serviceName, stage).filter(isAvailable),
    spare: (serviceName, stage) => pools.spare(serviceName, stage).filter(isAvailable),
  };
}
