/** Results of prefills, kept for a limited time, and beyond it only while a transfer reads them. */
import type { KvLedger } from './kvLedger';
import type { StatsRecorder } from './engineStats';

export interface KvExport {
  exportId: string;
  attemptId: string;
  kvBytes: number;
  promptTokens: number;
  /** Tokens that this prefill computed itself; they count as wasted if the result is never fetched. */
  computedTokens: number;
}

export interface ExportStoreOptions {
  keptForMs: number;
  ledger: KvLedger;
  stats: StatsRecorder;
  onChange: () => void;
}

export interface ExportStore {
  /** Takes ownership of the memory that the prefill held. */
  add(kvExport: KvExport): void;
  get(exportId: string): KvExport | undefined;
  /** Keeps the export while it is read. The returned function must be called when the transfer ends. */
  beginRead(exportId: string): (fetchedAll: boolean) => void;
  drop(exportId: string): void;
  dropAttempt(attemptId: string): void;
  list(): KvExport[];
  clear(): void;
}

interface Entry {
  kvExport: KvExport;
  readerCount: number;
  fetched: boolean;
  expired: boolean;
  timer: NodeJS.Timeout;
}

export function createExportStore(options: ExportStoreOptions): ExportStore {
  const entries = new Map<string, Entry>();

  function remove(exportId: string): void {
    const entry = entries.get(exportId);
    if (entry === undefined) {
      return;
    }
    clearTimeout(entry.timer);
    entries.delete(exportId);
    options.ledger.free(entry.kvExport.kvBytes);
    if (!entry.fetched) {
      options.stats.add('wastedPrefillTokens', entry.kvExport.computedTokens);
    }
    options.onChange();
  }

  function expire(exportId: string): void {
    const entry = entries.get(exportId);
    if (entry === undefined) {
      return;
    }
    entry.expired = true;
    if (entry.readerCount > 0) {
      return;
    }
    if (!entry.fetched) {
      options.stats.add('expiredExports');
    }
    remove(exportId);
  }

  function endRead(exportId: string, entry: Entry, fetchedAll: boolean): void {
    entry.readerCount -= 1;
    entry.fetched ||= fetchedAll;
    if (entry.expired && entries.get(exportId) === entry) {
      expire(exportId);
    }
  }

  return {
    add: (kvExport) => {
      const { exportId } = kvExport;
      const timer = setTimeout(() => expire(exportId), options.keptForMs);
      entries.set(exportId, { kvExport, readerCount: 0, fetched: false, expired: false, timer });
    },
    get: (exportId) => entries.get(exportId)?.kvExport,
    beginRead: (exportId) => {
      const entry = entries.get(exportId);
      if (entry === undefined) {
        return () => undefined;
      }
      entry.readerCount += 1;
      return (fetchedAll) => endRead(exportId, entry, fetchedAll);
    },
    drop: remove,
    dropAttempt: (attemptId) =>
      [...entries.values()]
        .filter(({ kvExport }) => kvExport.attemptId === attemptId)
        .forEach(({ kvExport }) => remove(kvExport.exportId)),
    list: () => [...entries.values()].map(({ kvExport }) => kvExport),
    clear: () => [...entries.keys()].forEach(remove),
  };
}
