/** Takes what backend servers say of themselves in their answers to where it counts, and tells it in log and metrics. */
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
  /** Told of each word, but not that there is no limit: nearly all answers say that. */
  onWord?: (kind: ServerWord['kind']) => void;
  logger: Logger;
}

export interface ServerWords {
  /** An answer of the server has said so. */
  note(server: BackendServer, words: readonly ServerWord[]): void;
  /** Whether this life of the server may get requests: it is listed, does not leave, and does not rest. */
  mayGet(server: Pick<BackendServer, 'id'>): boolean;
  /** Until the server's rest ends, in which it wants nothing at all; 0 where it does not rest. */
  restLeftMs(serverId: string): number;
  /**
   * Until one of the service's servers that stay ends its rest; undefined unless all of them rest. `stage` leaves out
   * engines of the other one.
   */
  closedForMs(serviceName: string, stage?: Stage): number | undefined;
  /** Servers of the service are listed, and all of them leave. */
  isLeft(serviceName: string): boolean;
}

/** Where servers say nothing of themselves. */
export const noWords: Pick<ServerWords, 'mayGet' | 'closedForMs' | 'isLeft'> = {
  mayGet: () => true,
  closedForMs: () => undefined,
  isLeft: () => false,
};

/** Lives of servers that have said that they leave, or what can't be read: each answer would be a line of the log. */
const maxKnown = 4_096;

export function createServerWords(options: ServerWordsOptions): ServerWords {
  const { directory, limits, onWord = () => undefined, logger } = options;
  const rests = createRestPeriods();
  const known = createBoundedMap<string, true>({ maxEntries: maxKnown });

  /** Whether it is the first time for the server. */
  function isNew(serverId: string, what: string): boolean {
    const key = `${what} ${serverId}`;
    const isFirst = !known.has(key);
    known.set(key, true);
    return isFirst;
  }

  function noteOne({ id, serviceName }: BackendServer, word: ServerWord): void {
    switch (word.kind) {
      case 'limit':
        limits.note({ id, serviceName }, word.requestsPerSecond);
        break;
      case 'no-limit':
        limits.note({ id, serviceName });
        break;
      case 'leaving':
        if (isNew(id, 'leaving')) {
          logger.info('server leaving', { id, serviceName });
        }
        directory.noteLeaving({ id });
        break;
      case 'rest':
        if (rests.note(id, word.forMs, monotonicNowMs())) {
          logger.info('server rest', { id, serviceName, forMs: Math.round(word.forMs) });
        }
        break;
      case 'unreadable':
        if (isNew(id, word.about)) {
          logger.warn(`server ${word.about} unreadable`, { id, text: word.text });
        }
        break;
      default:
        assertNever(word);
    }
  }

  const restLeftMs = (serverId: string) => rests.leftMs(serverId, monotonicNowMs());

  return {
    note(server, words) {
      words.forEach((word) => {
        if (word.kind !== 'no-limit') {
          onWord(word.kind);
        }
        noteOne(server, word);
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

/** The servers of the pools that do not rest. */
export function createWillingPools(
  pools: ServerPools,
  { restLeftMs }: Pick<ServerWords, 'restLeftMs'>,
): ServerPools {
  const isWilling = ({ id }: BackendServer) => restLeftMs(id) === 0;
  return {
    usable: (serviceName, stage) => pools.usable(serviceName, stage).filter(isWilling),
    spare: (serviceName, stage) => pools.spare(serviceName, stage).filter(isWilling),
  };
}
