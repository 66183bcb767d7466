/**
 * The backend servers behind their proxies, as the store lists them. A place keeps its service and its
 * turn in scripts; the server in it changes with each restart or replacement.
 */
import {
  startStandinWorker,
  type RunBehaviour,
  type StandinStore,
  type StandinWorker,
} from '@bluebellhitch/platform-standins';
import { stages, type Stage } from '@bluebellhitch/routing';
import { delay, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Ledger } from './ledger';
import { startLoopbackProxy, type LinkFault, type LoopbackProxy } from './loopbackProxy';

export const serviceNames = { letters: 'letters', counter: 'counter', desk: 'desk' } as const;
export type ServiceName = (typeof serviceNames)[keyof typeof serviceNames];

export interface BackendServersOptions {
  host: string;
  store: StandinStore;
  ledger: Ledger;
  disruptions: Disruptions;
  findings: Findings;
  random: Random;
  /** How long routers may still send to a server whose leaving the store has acknowledged. */
  drainMs: number;
  onLeaving(serverId: string): void;
}

export interface ServerErrors {
  run: RunBehaviour;
  share: number;
}

export interface BackendServers {
  placeCount: number;
  /** Falls silent at once; its entry lapses; another server takes its place after `downMs`. */
  crash(place: number, downMs: number): Promise<void>;
  /**
   * A new server comes first, then the old one drains and leaves. Its answers say so at once, its entry after `unlistedMs`.
   */
  replace(place: number, unlistedMs: number): Promise<void>;
  setLink(place: number, fault: LinkFault): void;
  resetLinks(place: number): void;
  setErrors(place: number, errors: ServerErrors | undefined): void;
  /** The store has come back from an older copy: those that live write again, entries of others lapse. */
  listAgain(): Promise<void>;
  /** Of the server that is there now. */
  nameLimit(place: number, requestsPerSecond: number | undefined): void;
  /** It turns all away and asks for so much rest; undefined: no longer. */
  askForRest(place: number, restMs: number | undefined): void;
  serverId(place: number): string;
  /** When the store acknowledged that the server leaves. */
  leavingSinceMs(serverId: string): number | undefined;
  close(): Promise<void>;
}

interface Place {
  index: number;
  service: ServiceName;
  stage?: Stage;
  errors?: ServerErrors;
  current?: RunningServer;
  lives: number;
}

interface RunningServer {
  worker: StandinWorker;
  proxy: LoopbackProxy;
}

/** One engine more reads prompts than the routers want: they have an order to give. */
const layout: readonly Pick<Place, 'service' | 'stage'>[] = [
  { service: serviceNames.letters, stage: stages.prefill },
  { service: serviceNames.letters, stage: stages.prefill },
  { service: serviceNames.letters, stage: stages.decode },
  { service: serviceNames.letters, stage: stages.decode },
  { service: serviceNames.letters, stage: stages.decode },
  { service: serviceNames.counter },
  { service: serviceNames.counter },
  { service: serviceNames.counter },
  { service: serviceNames.desk },
  { service: serviceNames.desk },
];
/** Three heartbeats of 400 ms: an entry without them goes. */
const entryLapseMs = 1_200;
/** A server that drains serves this long beyond the time that routers may use. */
const drainReserveMs = 1_500;
export const streamEvents = 12;
const eventGapMs = 25;
const workMs = 15;
const storeKind = 'servers';
const msPerSecond = 1_000;

/** What a plain request's caller gets. */
export function plainText(requestId: string, serverId: string): string {
  return `${requestId} at ${serverId}`;
}

/** What a stream's caller gets, whichever servers made it. */
export function eventText(requestId: string, event: number): string {
  return `${requestId} ${event}`;
}

export async function startBackendServers(options: BackendServersOptions): Promise<BackendServers> {
  const { store, ledger, findings, random } = options;
  const places: Place[] = layout.map((place, index) => ({ ...place, index, lives: 0 }));
  const leaving = new Map<string, number>();
  const draining = new Map<string, RunningServer>();
  const fencing = new Map<string, number>();

  async function startAt(place: Place): Promise<void> {
    place.lives += 1;
    const id = `${place.service}-${place.index}-${place.lives}`;
    const { service } = place;
    const worker = await startStandinWorker({
      id,
      service,
      stage: place.stage,
      eventCount: streamEvents,
      eventGapMs,
      workMs,
      textOf: (requestId, event) =>
        event === undefined ? plainText(requestId, id) : eventText(requestId, event),
      chooseRun: () => chooseRun(place),
      onArrival: (arrival) => ledger.arrive({ ...arrival, serverId: id, serviceName: service }),
      onOrder({ holderId, fencingNumber, stage }) {
        place.stage = stage;
        noteOrder(id, holderId, fencingNumber);
      },
      onStageChanged: () => place.current?.worker === worker && list(place),
    });
    const proxy = await startLoopbackProxy({ host: options.host, target: worker.address });
    place.current = { worker, proxy };
    list(place);
  }

  function chooseRun({ errors }: Place): RunBehaviour {
    return errors !== undefined && random() < errors.share ? errors.run : { kind: 'whole' };
  }

  /** Two holders that order at once would show as a fencing number that falls. */
  function noteOrder(serverId: string, holderId: string, fencingNumber: number): void {
    const highest = fencing.get(serverId) ?? 0;
    if (fencingNumber < highest) {
      const detail = `${holderId} ordered ${serverId} with ${fencingNumber} after ${highest}`;
      findings.add(promises.oneHolder, detail);
    }
    fencing.set(serverId, Math.max(highest, fencingNumber));
  }

  function list({ current }: Place): void {
    if (current !== undefined) {
      store.put(storeKind, current.worker.id, current.worker.entryAt(current.proxy.address));
    }
  }

  function listDraining({ worker, proxy }: RunningServer): void {
    store.put(storeKind, worker.id, worker.entryAt(proxy.address, 'draining'));
  }

  async function listAgain(): Promise<void> {
    [...draining.values()].forEach(listDraining);
    [...places].sort(() => random() - 0.5).forEach(list);
    await delay(entryLapseMs);
    const living = new Set([
      ...draining.keys(),
      ...places.flatMap(({ current }) => current?.worker.id ?? []),
    ]);
    store
      .objects(storeKind)
      .map(({ metadata }) => metadata.name)
      .filter((name) => !living.has(name))
      .forEach((name) => store.remove(storeKind, name));
  }

  async function end({ worker, proxy }: RunningServer): Promise<void> {
    proxy.close();
    await worker.stop();
  }

  async function crash(index: number, downMs: number): Promise<void> {
    const place = places[index] as Place;
    const crashed = place.current;
    if (crashed === undefined) {
      return;
    }
    place.current = undefined;
    const disruption = { kind: 'server', id: crashed.worker.id } as const;
    const ended = options.disruptions.begin(disruption, 'crash');
    await end(crashed);
    const lapse = delay(entryLapseMs).then(() => store.remove(storeKind, crashed.worker.id));
    await delay(downMs);
    await startAt(place);
    await lapse;
    ended();
  }

  async function replace(index: number, unlistedMs: number): Promise<void> {
    const place = places[index] as Place;
    const old = place.current;
    if (old === undefined) {
      return;
    }
    const { id } = old.worker;
    const ended = options.disruptions.begin({ kind: 'server', id }, 'replaced', {
      isPlanned: true,
    });
    await startAt(place);
    old.worker.leavingNotice = '1';
    old.worker.reportedState = { state: 'draining' };
    options.onLeaving(id);
    await delay(unlistedMs);
    draining.set(id, old);
    listDraining(old);
    leaving.set(id, monotonicNowMs());
    await delay(options.drainMs + drainReserveMs);
    draining.delete(id);
    store.remove(storeKind, id);
    await end(old);
    ended();
  }

  await Promise.all(places.map(startAt));

  return {
    placeCount: places.length,
    crash,
    replace,
    setLink: (index, fault) => places[index]?.current?.proxy.setFault(fault),
    resetLinks: (index) => places[index]?.current?.proxy.resetAll(),
    setErrors(index, errors) {
      (places[index] as Place).errors = errors;
    },
    listAgain,
    nameLimit(index, requestsPerSecond) {
      const worker = places[index]?.current?.worker;
      if (worker !== undefined) {
        worker.limitNotice = requestsPerSecond?.toFixed(1);
      }
    },
    askForRest(index, restMs) {
      const worker = places[index]?.current?.worker;
      if (worker !== undefined) {
        worker.backoffNotice = restMs === undefined ? undefined : String(restMs / msPerSecond);
      }
    },
    serverId: (index) => places[index]?.current?.worker.id ?? '',
    leavingSinceMs: (serverId) => leaving.get(serverId),
    async close() {
      await Promise.all(places.flatMap(({ current }) => (current ? [end(current)] : [])));
    },
  };
}
