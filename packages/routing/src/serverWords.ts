/** Takes what backend servers say of themselves in their answers to where it counts, and tells it in log and metrics. */
import { createBoundedMap, createRestPeriods } from '@bluebellhitch/decisions';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { ServerWord } from './backendApi';
import type { BackendServer } from './model';
import type { ServerDirectory } from './serverDirectory';
import type { ServerLimits } from './serverLimits';

export interface ServerWordsOptions {
  directory: Pick<ServerDirectory, 'get' | 'noteLeaving'>;
  limits: Pick<ServerLimits, 'note'>;
  onWord?: (kind: ServerWord['kind']) => void;
  logger: Logger;
}

export interface ServerWords {
  /** An answer of the server has said so. */
  note(server: BackendServer, words: readonly ServerWord[]): void;
  /** Whether this life of the server may get requests: it is listed, and nobody says that it leaves. */
  mayGet(server: BackendServer): boolean;
}

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

  return {
    note(server, words) {
      words.forEach((word) => {
        onWord(word.kind);
        noteOne(server, word);
      });
    },
    mayGet: ({ id }) => directory.get(id)?.isDraining === false,
  };
}
