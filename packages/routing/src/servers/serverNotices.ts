/** Applies the notices that backend servers send in their responses, and records them in log and metrics. */
import { createBoundedMap, createBackoffPeriods } from '@bluebellhitch/decisions';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { ServerNotice } from '../backendApi';
import type { BackendServer, Stage } from '../model';
import type { ServerPools } from './fleetShard';
import type { ServerDirectory } from './serverDirectory';
import type { ServerLimits } from './serverLimits';
import type { ServiceVersions } from './serviceVersions';

export interface ServerNoticesOptions {
  directory: Pick<ServerDirectory, 'get' | 'all' | 'usable' | 'noteLeaving'>;
  limits: Pick<ServerLimits, 'note'>;
  /** Called for each notice except `no-limit`, which nearly all responses carry. */
  onNotice?: (kind: ServerNotice['kind']) => void;
  logger: Logger;
}

export interface ServerNotices {
  /** Applies the notices of one response of the server. */
  note(server: BackendServer, notices: readonly ServerNotice[]): void;
  /** Whether this incarnation of the server takes requests: it is listed, not leaving and not in backoff. */
  isAccepting(server: Pick<BackendServer, 'id'>): boolean;
  /** Time until the server's backoff ends, during which it wants no requests at all; 0 without one. */
  backoffLeftMs(serverId: string): number;
  /**
   * Time until the first backoff ends among the service's servers that are not leaving; undefined unless all of them
   * are in backoff. `stage` restricts this to engines of that stage.
   */
  allBackoffLeftMs(serviceName: string, stage?: Stage): number | undefined;
  /** Whether servers of the service are listed and all of them are leaving. */
  areAllLeaving(serviceName: string): boolean;
}

/** Stands in where servers send no notices. */
export const noNotices: Pick<ServerNotices, 'isAccepting' | 'allBackoffLeftMs' | 'areAllLeaving'> =
  {
    isAccepting: () => true,
    allBackoffLeftMs: () => undefined,
    areAllLeaving: () => false,
  };

/** Bounds the memory of logged notices: without it each response would repeat the log line. */
const maxRemembered = 4_096;

export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { directory, limits, onNotice = () => undefined, logger } = options;
  const backoffs = createBackoffPeriods();
  const logged = createBoundedMap<string, true>({ maxEntries: maxRemembered });

  /** Whether this is the server's first notice of this kind. */
  function isFirstNotice(serverId: string, what: string): boolean {
    const key = `${what} ${serverId}`;
    const isFirst = !logged.has(key);
    logged.set(key, true);
    return isFirst;
  }

  function applyNotice({ id, serviceName }: BackendServer, notice: ServerNotice): void {
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

  const backoffLeftMs = (serverId: string) => backoffs.leftMs(serverId, monotonicNowMs());

  return {
    note(server, notices) {
      notices.forEach((notice) => {
        if (notice.kind !== 'no-limit') {
          onNotice(notice.kind);
        }
        applyNotice(server, notice);
      });
    },
    isAccepting: ({ id }) => directory.get(id)?.isDraining === false && backoffLeftMs(id) === 0,
    backoffLeftMs,
    allBackoffLeftMs(serviceName, stage) {
      const leftMs = directory.usable(serviceName, stage).map(({ id }) => backoffLeftMs(id));
      const soonestMs = Math.min(...leftMs);
      return leftMs.length > 0 && soonestMs > 0 ? soonestMs : undefined;
    },
    areAllLeaving(serviceName) {
      const listed = directory.all().filter((server) => server.serviceName === serviceName);
      return listed.length > 0 && listed.every(({ isDraining }) => isDraining);
    },
  };
}

/** The pools without servers that are in backoff, or whose software version is not on record yet. */
export function createAvailablePools(
  pools: ServerPools,
  { backoffLeftMs }: Pick<ServerNotices, 'backoffLeftMs'>,
  { mayBegin }: Pick<ServiceVersions, 'mayBegin'>,
): ServerPools {
  const isAvailable = (server: BackendServer) => backoffLeftMs(server.id) === 0 && mayBegin(server);
  return {
    usable: (serviceName, stage) => pools.usable(serviceName, stage).filter(isAvailable),
    spare: (serviceName, stage) => pools.spare(serviceName, stage).filter(isAvailable),
    ofAllShards: (serviceName, stage) => pools.ofAllShards(serviceName, stage).filter(isAvailable),
    hasVersion: pools.hasVersion,
  };
}
