/** Servers that leave while writes of their entries are executed late, and entries that expire while their servers run. */
import type { StandinStore } from '@bluebellhitch/platform-standins';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { Disruptions } from './disruptions';
import {
  entryExpiryMs,
  heartbeatMs,
  serverEntryKind,
  type RunningServer,
  type ServerSlot,
} from './serverSlots';

export interface Leaving {
  /** Its entry says that it drains; otherwise the entry is removed. */
  isAnnounced: boolean;
  /** A write from before is executed that long after. */
  lateMs: number;
  /** Time that the server serves beyond the usual. */
  lingerMs: number;
}

/** When a server's entry became ready again. */
export interface EntryWrite {
  serverId: string;
  atMs: number;
}

export interface LeaversOptions {
  store: Pick<StandinStore, 'put' | 'remove'>;
  disruptions: Pick<Disruptions, 'begin'>;
  /** Time that a leaving server usually serves. */
  drainingMs: number;
  startReplacement(slot: ServerSlot): Promise<void>;
  publishEntry(slot: ServerSlot): void;
  stopServer(server: RunningServer): Promise<void>;
  noteLeaving(serverId: string): void;
  /** Whether the server writes that it drains whenever servers write their entries again. */
  setDraining(server: RunningServer, isDraining: boolean): void;
}

export interface Leavers {
  /** Starts a new server in the slot; the old one leaves as described. */
  leave(slot: ServerSlot, leaving: Leaving): Promise<void>;
  /** Removes the entry of a server that runs on, and writes it again after `awayMs`. */
  expireEntry(slot: ServerSlot, awayMs: number): Promise<void>;
  lateEntries(): readonly EntryWrite[];
  returnedEntries(): readonly EntryWrite[];
}

export function createLeavers(options: LeaversOptions): Leavers {
  const { store, setDraining } = options;
  const lateEntries: EntryWrite[] = [];
  const returnedEntries: EntryWrite[] = [];

  function writeDraining({ worker, proxy }: RunningServer): void {
    store.put(serverEntryKind, worker.id, worker.entryAt(proxy.address, 'draining'));
  }

  /** The next write of a server that drains follows it; that of one that writes no more expires. */
  async function writeLate(
    id: string,
    entry: Record<string, unknown>,
    isAnnounced: boolean,
  ): Promise<void> {
    store.put(serverEntryKind, id, entry);
    lateEntries.push({ serverId: id, atMs: monotonicNowMs() });
    if (!isAnnounced) {
      await delay(entryExpiryMs);
      store.remove(serverEntryKind, id);
    }
  }

  return {
    async leave(slot, { isAnnounced, lateMs, lingerMs }) {
      const old = slot.current;
      if (old === undefined) {
        return;
      }
      const { worker, proxy } = old;
      const { id } = worker;
      const subject = { kind: 'server', id } as const;
      const endDisruption = options.disruptions.begin(subject, 'leaves', { isPlanned: true });
      await options.startReplacement(slot);
      const lateEntry = worker.entryAt(proxy.address);
      worker.isLeaving = true;
      if (isAnnounced) {
        setDraining(old, true);
        writeDraining(old);
      } else {
        store.remove(serverEntryKind, id);
      }
      options.noteLeaving(id);
      const lateWrite = delay(lateMs).then(() => writeLate(id, lateEntry, isAnnounced));
      const heartbeats = setInterval(() => isAnnounced && writeDraining(old), heartbeatMs);
      await delay(Math.max(options.drainingMs + lingerMs, lateMs));
      clearInterval(heartbeats);
      setDraining(old, false);
      await options.stopServer(old);
      await lateWrite;
      store.remove(serverEntryKind, id);
      endDisruption();
    },
    async expireEntry(slot, awayMs) {
      const { current } = slot;
      if (current === undefined) {
        return;
      }
      const { id } = current.worker;
      store.remove(serverEntryKind, id);
      await delay(awayMs);
      if (slot.current === current) {
        options.publishEntry(slot);
        returnedEntries.push({ serverId: id, atMs: monotonicNowMs() });
      }
    },
    lateEntries: () => lateEntries,
    returnedEntries: () => returnedEntries,
  };
}
