/**
 * The backend servers, each behind a proxy and listed in the store. A slot keeps its service and its index in scripts;
 * the server in it changes with each restart or replacement.
 */
import {
  startStandinWorker,
  type CallerDepartures,
  type PrefillBehaviour,
  type RunBehaviour,
  type StandinStore,
} from '@bluebellhitch/platform-standins';
import { stages } from '@bluebellhitch/routing';
import { delay, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { crashOf } from './crashingRequests';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import { createLeavers, type EntryWrite, type Leaving } from './leavers';
import type { Ledger } from './ledger';
import {
  eventText,
  isUnframed,
  entryExpiryMs,
  plainText,
  serverEntryKind,
  slotLayout,
  streamEvents,
  streamVersions,
  type RunningServer,
  type ServerErrors,
  type ServerSlot,
  type StreamVersion,
} from './serverSlots';
import type { Silences } from './silences';
import { startLoopbackProxy, type LinkFault } from './loopbackProxy';

export interface BackendServersOptions {
  host: string;
  store: StandinStore;
  ledger: Ledger;
  disruptions: Disruptions;
  findings: Findings;
  random: Random;
  departures: Pick<CallerDepartures, 'noteArrival' | 'noteWorkEnded'>;
  silences: Pick<Silences, 'begin'>;
  /** How long routers may still send to a server after the store has acknowledged that it is leaving. */
  drainMs: number;
  /** Called when the responses of a server begin to say that it is leaving. */
  onLeaving(serverId: string): void;
  /** Called when a server has crashed because it ran a request with this body. */
  onCrashed?: (body: string) => void;
}

export interface BackendServers {
  slotCount: number;
  /** Ends a server without notice. Its entry expires, and another server starts in its slot after `downMs`. */
  crash(slot: number, downMs: number): Promise<void>;
  /**
   * Starts a new server, then drains the old one and ends it. The old server's responses say so immediately, its entry
   * in the store after `unlistedMs`.
   */
  replace(slot: number, unlistedMs: number): Promise<void>;
  /** Starts a new server; the old one leaves as described, and says so in response to health checks only. */
  leave(slot: number, leaving: Leaving): Promise<void>;
  /** Removes the entry of a server that runs on, as if it could not write it, and writes it again after `awayMs`. */
  expireEntry(slot: number, awayMs: number): Promise<void>;
  /** Sets the software version of servers that start in the slot from now on. */
  setVersion(slot: number, softwareVersion: StreamVersion): void;
  engineSlots(): number[];
  /** Number of running engines of a software version. */
  engineCount(softwareVersion: string): number;
  setLink(slot: number, fault: LinkFault): void;
  resetLinks(slot: number): void;
  setErrors(slot: number, errors: ServerErrors | undefined): void;
  /** Sets how many times as long as usual the slot's servers take. */
  setSlowdown(slot: number, factor: number): void;
  /** Sets the share of prefill calls that the slot rejects. */
  setRejectedPrefillShare(slot: number, share: number): void;
  /** After the store was restored from a backup: running servers write their entries again, the others' expire. */
  republishEntries(): Promise<void>;
  /** Sets the request limit that the slot's current server announces; undefined: none. */
  setLimitNotice(slot: number, requestsPerSecond: number | undefined): void;
  /** Makes the slot's current server reject all requests and announce a backoff time; undefined ends that. */
  setBackoffNotice(slot: number, restMs: number | undefined): void;
  /** The slot's current server is silent until the returned function is called. */
  fallSilent(slot: number): () => void;
  serverId(slot: number): string;
  /** When the store acknowledged that the server is leaving; undefined if it is not. */
  leavingSinceMs(serverId: string): number | undefined;
  /** Entries that were executed late, of servers that had left. */
  lateEntries(): readonly EntryWrite[];
  /** Entries of running servers that were written again after they had expired. */
  returnedEntries(): readonly EntryWrite[];
  close(): Promise<void>;
}

/** How long a draining server keeps serving after routers must have stopped sending. */
const drainReserveMs = 1_500;
const eventGapMs = 25;
const workMs = 15;
const prefillMs = 10;
/** A server that has crashed under a request is back after some seconds. */
const minDownMs = 1_000;
const meanDownMs = 2_000;
const msPerSecond = 1_000;

export async function startBackendServers(options: BackendServersOptions): Promise<BackendServers> {
  const { store, ledger, findings, random } = options;
  const slots: ServerSlot[] = slotLayout.map((slot, index) => ({
    ...slot,
    index,
    softwareVersion: streamVersions[0],
    rejectedPrefillShare: 0,
    slowdown: 1,
    startCount: 0,
  }));
  const leaving = new Map<string, number>();
  const draining = new Map<string, RunningServer>();
  const highestFencingNumbers = new Map<string, number>();

  async function startAt(slot: ServerSlot): Promise<void> {
    slot.startCount += 1;
    const id = `${slot.service}-${slot.index}-${slot.startCount}`;
    const { service, softwareVersion } = slot;
    const worker = await startStandinWorker({
      id,
      service,
      stage: slot.stage,
      softwareVersion,
      eventCount: streamEvents,
      eventGapMs,
      workMs,
      textOf: (requestId, event) =>
        event === undefined
          ? plainText(requestId, id)
          : eventText(requestId, event, softwareVersion),
      chooseRun: ({ body }) => chooseRun(slot, body),
      onCrash: (body) => {
        options.onCrashed?.(body);
        if (slot.current?.worker === worker) {
          void crash(slot.index, minDownMs + random() * meanDownMs);
        }
      },
      choosePrefill: () => choosePrefill(slot),
      isUnframed,
      departures: options.departures,
      onArrival: (arrival) =>
        ledger.recordArrival({ ...arrival, serverId: id, serviceName: service }),
      onOrder({ holderId, fencingNumber, stage }) {
        slot.stage = stage;
        noteOrder(id, holderId, fencingNumber);
      },
      onStageChanged: () => slot.current?.worker === worker && publishEntry(slot),
    });
    Object.assign(worker, { prefillMs, slowdown: slot.slowdown });
    const proxy = await startLoopbackProxy({ host: options.host, target: worker.address });
    slot.current = { worker, proxy };
    publishEntry(slot);
  }

  function chooseRun({ errors }: ServerSlot, body: string): RunBehaviour {
    const crashRun = crashOf(body);
    if (crashRun !== undefined) {
      return crashRun;
    }
    return errors !== undefined && random() < errors.share ? errors.run : { kind: 'whole' };
  }

  function choosePrefill({ rejectedPrefillShare: share }: ServerSlot): PrefillBehaviour {
    return share > 0 && random() < share ? 'rejected' : 'whole';
  }

  /** A fencing number that decreases reveals two simultaneous lease holders. */
  function noteOrder(serverId: string, holderId: string, fencingNumber: number): void {
    const highest = highestFencingNumbers.get(serverId) ?? 0;
    if (fencingNumber < highest) {
      const detail = `${holderId} ordered ${serverId} with ${fencingNumber} after ${highest}`;
      findings.add(promises.oneHolder, detail);
    }
    highestFencingNumbers.set(serverId, Math.max(highest, fencingNumber));
  }

  function publishEntry({ current }: ServerSlot): void {
    if (current !== undefined) {
      store.put(serverEntryKind, current.worker.id, current.worker.entryAt(current.proxy.address));
    }
  }

  function publishDrainingEntry({ worker, proxy }: RunningServer): void {
    store.put(serverEntryKind, worker.id, worker.entryAt(proxy.address, 'draining'));
  }

  async function republishEntries(): Promise<void> {
    [...draining.values()].forEach(publishDrainingEntry);
    [...slots].sort(() => random() - 0.5).forEach(publishEntry);
    await delay(entryExpiryMs);
    const liveIds = new Set([
      ...draining.keys(),
      ...slots.flatMap(({ current }) => current?.worker.id ?? []),
    ]);
    store
      .objects(serverEntryKind)
      .map(({ metadata }) => metadata.name)
      .filter((name) => !liveIds.has(name))
      .forEach((name) => store.remove(serverEntryKind, name));
  }

  async function stopServer({ worker, proxy }: RunningServer): Promise<void> {
    proxy.close();
    await worker.stop();
  }

  async function crash(index: number, downMs: number): Promise<void> {
    const slot = slots[index] as ServerSlot;
    const crashed = slot.current;
    if (crashed === undefined) {
      return;
    }
    slot.current = undefined;
    const disruption = { kind: 'server', id: crashed.worker.id } as const;
    const endDisruption = options.disruptions.begin(disruption, 'crash');
    await stopServer(crashed);
    const expiry = delay(entryExpiryMs).then(() =>
      store.remove(serverEntryKind, crashed.worker.id),
    );
    await delay(downMs);
    await startAt(slot);
    await expiry;
    endDisruption();
  }

  async function replace(index: number, unlistedMs: number): Promise<void> {
    const slot = slots[index] as ServerSlot;
    const old = slot.current;
    if (old === undefined) {
      return;
    }
    const { id } = old.worker;
    const endDisruption = options.disruptions.begin({ kind: 'server', id }, 'replaced', {
      isPlanned: true,
    });
    await startAt(slot);
    old.worker.leavingNotice = '1';
    old.worker.reportedState = { state: 'draining' };
    options.onLeaving(id);
    await delay(unlistedMs);
    draining.set(id, old);
    publishDrainingEntry(old);
    leaving.set(id, monotonicNowMs());
    await delay(options.drainMs + drainReserveMs);
    draining.delete(id);
    store.remove(serverEntryKind, id);
    await stopServer(old);
    endDisruption();
  }

  const leavers = createLeavers({
    store,
    disruptions: options.disruptions,
    drainingMs: options.drainMs + drainReserveMs,
    startReplacement: (slot) => startAt(slot),
    publishEntry,
    stopServer,
    noteLeaving: (id) => leaving.set(id, monotonicNowMs()),
    setDraining(server, isDraining) {
      if (isDraining) {
        draining.set(server.worker.id, server);
      } else {
        draining.delete(server.worker.id);
      }
    },
  });
  await Promise.all(slots.map(startAt));

  return {
    slotCount: slots.length,
    crash,
    replace,
    leave: (index, how) => leavers.leave(slots[index] as ServerSlot, how),
    expireEntry: (index, awayMs) => leavers.expireEntry(slots[index] as ServerSlot, awayMs),
    setVersion(index, softwareVersion) {
      (slots[index] as ServerSlot).softwareVersion = softwareVersion;
    },
    engineSlots: () => slots.filter(({ stage }) => stage !== undefined).map(({ index }) => index),
    engineCount: (softwareVersion) =>
      slots.filter(
        ({ current, stage }) =>
          stage === stages.decode && current?.worker.entry.version === softwareVersion,
      ).length,
    setLink: (index, fault) => slots[index]?.current?.proxy.setFault(fault),
    resetLinks: (index) => slots[index]?.current?.proxy.resetAll(),
    setErrors(index, errors) {
      (slots[index] as ServerSlot).errors = errors;
    },
    setSlowdown(index, factor) {
      const slot = slots[index] as ServerSlot;
      slot.slowdown = factor;
      if (slot.current !== undefined) {
        slot.current.worker.slowdown = factor;
      }
    },
    setRejectedPrefillShare(index, share) {
      (slots[index] as ServerSlot).rejectedPrefillShare = share;
    },
    republishEntries,
    setLimitNotice(index, requestsPerSecond) {
      const worker = slots[index]?.current?.worker;
      if (worker !== undefined) {
        worker.limitNotice = requestsPerSecond?.toFixed(1);
      }
    },
    setBackoffNotice(index, restMs) {
      const worker = slots[index]?.current?.worker;
      if (worker !== undefined) {
        worker.backoffNotice = restMs === undefined ? undefined : String(restMs / msPerSecond);
      }
    },
    fallSilent(index) {
      const { current, stage } = slots[index] as ServerSlot;
      if (current === undefined) {
        return () => undefined;
      }
      const goOn = current.worker.fallSilent();
      const endSilence = options.silences.begin({ id: current.worker.id, stage });
      return () => {
        goOn();
        endSilence();
      };
    },
    serverId: (index) => slots[index]?.current?.worker.id ?? '',
    leavingSinceMs: (serverId) => leaving.get(serverId),
    lateEntries: leavers.lateEntries,
    returnedEntries: leavers.returnedEntries,
    async close() {
      await Promise.all(slots.flatMap(({ current }) => (current ? [stopServer(current)] : [])));
    },
  };
}
