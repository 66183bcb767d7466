/**
 * Reads entries of the store again that the directory has ignored. Watches do not show that a server goes on writing the
 * same entry, and that is what tells its own entries from one that another writer left under its name.
 */
import { delay, type Random } from '@bluebellhitch/shared';
import type { BackendServer } from '../model';
import type { ServerDirectory } from './serverDirectory';

export interface IgnoredEntryReviewOptions {
  directory: Pick<ServerDirectory, 'isIgnoring' | 'reviewIgnored'>;
  /** Reads the entry of this name from the store; undefined if there is none or it cannot be read. */
  readEntry: (name: string) => Promise<BackendServer | undefined>;
  random?: Random;
}

export interface IgnoredEntryReview {
  /** Reads the entry of this name until it is no longer ignored or is gone; no effect while it is being read. */
  noteIgnored(name: string): void;
  close(): void;
}

/** Mean time between two reads of an entry: several fit into three writes, which come about once a second. */
const readIntervalMs = 600;

export function createIgnoredEntryReview(options: IgnoredEntryReviewOptions): IgnoredEntryReview {
  const { directory, readEntry, random = Math.random } = options;
  const readNames = new Set<string>();
  const closed = new AbortController();

  async function readUntilSettled(name: string): Promise<void> {
    while (directory.isIgnoring(name) && !closed.signal.aborted) {
      // All routers see an entry at the same moment.
      await delay(readIntervalMs * (0.5 + random()), closed.signal);
      const entry = directory.isIgnoring(name) ? await readEntry(name) : undefined;
      if (entry !== undefined && directory.isIgnoring(name)) {
        directory.reviewIgnored(entry);
      }
    }
  }

  return {
    noteIgnored(name) {
      if (!readNames.has(name)) {
        readNames.add(name);
        void readUntilSettled(name).finally(() => readNames.delete(name));
      }
    },
    close: () => closed.abort(),
  };
}
