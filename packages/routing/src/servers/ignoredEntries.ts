/** The entries of the store that were not applied, one for each name, until the entry of the name changes again. */
import { areIgnoredEntriesLasting, createBoundedMap } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from '../model';

export interface IgnoredEntries {
  /** An entry was ignored; the first one of another incarnation begins anew. */
  note(entry: BackendServer): void;
  delete(name: string): void;
  has(name: string): boolean;
  names(): string[];
  /** The last ignored entry of the name, if its writer has gone on writing: see `areIgnoredEntriesLasting`. */
  lasting(name: string): LastingEntry | undefined;
}

export interface LastingEntry {
  entry: BackendServer;
  /** Number of the first ignored entry of its incarnation. */
  firstNumber?: number;
}

interface Ignored extends LastingEntry {
  sinceMs: number;
}

const maxNames = 1_024;

export function createIgnoredEntries(): IgnoredEntries {
  const ignored = createBoundedMap<string, Ignored>({ maxEntries: maxNames });

  return {
    note(entry) {
      const known = ignored.get(entry.name);
      ignored.set(
        entry.name,
        known?.entry.id === entry.id
          ? { ...known, entry }
          : { entry, firstNumber: entry.entryNumber, sinceMs: monotonicNowMs() },
      );
    },
    delete: (name) => ignored.delete(name),
    has: ignored.has,
    names: () => [...ignored.entries()].map(([name]) => name),
    lasting(name) {
      const known = ignored.get(name);
      if (known === undefined) {
        return undefined;
      }
      const { entry, firstNumber, sinceMs } = known;
      const forMs = monotonicNowMs() - sinceMs;
      const latestNumber = entry.entryNumber;
      return areIgnoredEntriesLasting({ firstNumber, latestNumber, forMs }) ? known : undefined;
    },
  };
}
