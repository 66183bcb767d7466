/**
 * Starts a fleet of the real binaries with stand-ins around them, and stops it: entries first, the
 * platform last. A fleet that fails to start leaves nothing behind.
 */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import {
  startBinary,
  type BinarySpec,
  type RunningBinary,
  type StartBinaryOptions,
} from './childProcess';
import {
  applyDocument,
  listInstances,
  markLeaving,
  readJson,
  readText,
  registerInstance,
  removeInstance,
} from './controlCalls';
import type { BackendDescription, FleetDescription } from './fleetDescription';
import type { EngineProfile } from './fleetParts';

export interface StartFleetOptions extends StartBinaryOptions {
  description: FleetDescription;
  /** Sets of entries beside the same agents; one an experiment's policy. */
  entryGroups: EntryGroup[];
  /** Callers' port and admin port of the first entry; the next entries and the agents follow. */
  firstPorts?: { entryPort: number; adminPort: number };
  /** Sees each process once it listens. */
  onStarted?: (started: RunningBinary) => void;
  /** Sees each process that ends before the fleet is stopped. */
  onEnded?: (name: string, cause: string) => void;
}

export interface EntryGroup {
  /** Part of its entries' ids, unless it is empty. */
  name: string;
  count: number;
  /** Beside the settings that every entry needs. */
  settings: Record<string, string | number | undefined>;
}

export interface FleetEntry {
  group: string;
  callerAddress: string;
  adminAddress: string;
}

export interface FleetBackend {
  description: BackendDescription;
  /** Of the engine or the plain service. */
  address: string;
  agentAdminAddress: string;
  /** Kills the backend server and its agent, as the loss of their instance does. */
  kill(): void;
}

export interface Fleet {
  platformUrl: string;
  entries: FleetEntry[];
  /** The present processes; a backend that was replaced appears with its new addresses. */
  backends(): FleetBackend[];
  /** Starts a killed backend anew under the same id; resolves once it is ready and listed. */
  replaceBackend(id: string): Promise<void>;
  /** Resolves with the names of the processes that did not stop gracefully. */
  stop(): Promise<string[]>;
  /** Ends every process at once. */
  kill(): void;
}

const host = '127.0.0.1';
const instanceLagMs = 500;
const readyBoundMs = 60_000;
const pollMs = 50;

type Stage = 'platform' | 'backends' | 'agents' | 'entries';
const stopOrder: readonly Stage[] = ['entries', 'agents', 'backends', 'platform'];

/** Starts the fleet; resolves once each entry offers the institution's services. */
export async function startFleet(options: StartFleetOptions): Promise<Fleet> {
  const { description, entryGroups, firstPorts, onStarted, onEnded } = options;
  const entryCount = entryGroups.reduce((sum, { count }) => sum + count, 0);
  const portFrom = (first: number | undefined, index: number) => (first ? first + index : 0);
  let isStopping = false;
  const started: Record<Stage, RunningBinary[]> = {
    platform: [],
    backends: [],
    agents: [],
    entries: [],
  };
  const backends = new Map<string, FleetBackend>();

  async function launch(stage: Stage, spec: BinarySpec): Promise<RunningBinary> {
    const running = await startBinary(spec, options);
    started[stage].push(running);
    onStarted?.(running);
    void running.ended.then((cause) => isStopping || onEnded?.(running.name, cause));
    return running;
  }

  async function launchBackend(
    platformUrl: string,
    backend: BackendDescription,
    adminPort = 0,
  ): Promise<void> {
    const server = await launch('backends', backendSpec(backend, description.engine));
    const address = addressOf(server, 'address');
    const agent = await launch('agents', agentSpec(backend, address, platformUrl, adminPort));
    const agentAdminAddress = addressOf(agent, 'adminAddress');
    await registerInstance(platformUrl, backend.id, {
      kind: 'agent',
      service: backend.document.service,
      role: backend.role,
      dataCentre: backend.dataCentre,
      innerAddress: addressOf(agent, 'innerAddress'),
      adminAddress: agentAdminAddress,
    });
    await waitUntilReady(backend.id, agentAdminAddress);
    backends.set(backend.id, {
      description: backend,
      address,
      agentAdminAddress,
      kill: () => [server, agent].forEach((process) => process.kill()),
    });
  }

  async function launchEntry(
    platformUrl: string,
    group: EntryGroup,
    index: number,
    position: number,
  ): Promise<FleetEntry> {
    const { dataCentres } = description;
    const dataCentre = dataCentres[index % dataCentres.length] ?? 'unknown';
    const instanceId = ['entry', group.name, index + 1].filter((part) => part !== '').join('-');
    const entryPort = portFrom(firstPorts?.entryPort, position);
    const adminPort = portFrom(firstPorts?.adminPort, position);
    const ports = { entryPort, innerPort: 0, adminPort };
    const settings = { ...ports, ...group.settings, instanceId, dataCentre, platformUrl };
    const entry = await launch('entries', { name: instanceId, binary: 'bluebell-entry', settings });
    const adminAddress = addressOf(entry, 'adminAddress');
    await registerInstance(platformUrl, instanceId, {
      kind: 'entry',
      dataCentre,
      innerAddress: addressOf(entry, 'innerAddress'),
      adminAddress,
    });
    return { group: group.name, callerAddress: addressOf(entry, 'callersAddress'), adminAddress };
  }

  async function launchAll(): Promise<Pick<Fleet, 'platformUrl' | 'entries'>> {
    const platform = await launch('platform', platformSpec());
    const platformUrl = addressOf(platform, 'address');
    const { services } = description;
    await Promise.all(
      services.map(({ document, text }) => applyDocument(platformUrl, document.service, text)),
    );
    await settleAll(
      description.backends.map((backend, index) =>
        launchBackend(platformUrl, backend, portFrom(firstPorts?.adminPort, entryCount + index)),
      ),
    );
    await waitUntilListed(platformUrl, description.backends);
    const entries = await settleAll(
      entryGroups
        .flatMap((group) => Array.from({ length: group.count }, (_, index) => ({ group, index })))
        .map(({ group, index }, position) => launchEntry(platformUrl, group, index, position)),
    );
    await Promise.all(entries.map((entry) => waitUntilServing(entry, description)));
    return { platformUrl, entries };
  }

  async function stop(platformUrl: string): Promise<string[]> {
    isStopping = true;
    await Promise.allSettled(started.entries.map(({ name }) => markLeaving(platformUrl, name)));
    const cutOff: string[] = [];
    for (const stage of stopOrder) {
      const running = started[stage].filter((process) => process.isRunning());
      const areGraceful = await Promise.all(running.map((process) => process.stop()));
      cutOff.push(...running.filter((_, index) => !areGraceful[index]).map(({ name }) => name));
    }
    return cutOff;
  }

  function kill(): void {
    isStopping = true;
    Object.values(started)
      .flat()
      .forEach((process) => process.kill());
  }

  async function replaceBackend(platformUrl: string, id: string): Promise<void> {
    const backend = backends.get(id);
    if (backend === undefined) {
      throw new Error(`the fleet has no backend ${id}`);
    }
    await removeInstance(platformUrl, id);
    // The entries shall see the instance vanish, and not only its address change.
    await delay(2 * instanceLagMs);
    await launchBackend(platformUrl, backend.description);
  }

  try {
    const running = await launchAll();
    return {
      ...running,
      backends: () => [...backends.values()],
      replaceBackend: (id) => replaceBackend(running.platformUrl, id),
      stop: () => stop(running.platformUrl),
      kill,
    };
  } catch (error) {
    kill();
    throw error;
  }
}

/** Waits for all, also behind a failure, so that the caller knows of every process to stop. */
async function settleAll<Value>(promises: Promise<Value>[]): Promise<Value[]> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}

function addressOf({ name, addresses }: RunningBinary, field: string): string {
  const address = addresses[field];
  if (address === undefined) {
    throw new Error(`${name} tells no ${field}`);
  }
  return address;
}

function platformSpec(): BinarySpec {
  return { name: 'platform', binary: 'standin-platform', settings: { host, instanceLagMs } };
}

/** A backend server without its agent. */
export function backendSpec(
  { id, document, role }: BackendDescription,
  engine: EngineProfile,
): BinarySpec {
  if (document.kind === 'plain') {
    return { name: id, binary: 'standin-plain-service', settings: { host } };
  }
  const models = document.models.map(({ name, version }) => `${name}@${version}`).join(',');
  return { name: id, binary: 'standin-engine', settings: { host, role, models, ...engine } };
}

function agentSpec(
  { id, document, role, dataCentre }: BackendDescription,
  backendUrl: string,
  platformUrl: string,
  adminPort: number,
): BinarySpec {
  const settings = {
    instanceId: id,
    dataCentre,
    service: document.service,
    backendKind: document.kind,
    role,
    backendUrl,
    platformUrl,
    adminPort,
  };
  return { name: `${id}-agent`, binary: 'bluebell-agent', settings };
}

function waitUntilReady(name: string, adminAddress: string): Promise<void> {
  return waitFor(`${name} is not ready`, async () => {
    await readText(`${adminAddress}/readyz`);
    return true;
  });
}

/** An entry that starts after this knows every agent from its first look at the list. */
function waitUntilListed(platformUrl: string, backends: BackendDescription[]): Promise<void> {
  return waitFor('the platform does not list all agents', async () => {
    const listed = (await listInstances(platformUrl)) as { id: string }[];
    return backends.every((backend) => listed.some(({ id }) => id === backend.id));
  });
}

/** An entry serves once it is ready and every document is in force there. */
async function waitUntilServing(entry: FleetEntry, { services }: FleetDescription): Promise<void> {
  await waitUntilReady(entry.callerAddress, entry.adminAddress);
  await waitFor(`${entry.callerAddress} does not offer the services`, async () => {
    const inForce = (await readJson(`${entry.adminAddress}/debug/services`)) as {
      document: { service: string };
    }[];
    const names = inForce.map(({ document }) => document.service);
    return services.every(({ document }) => names.includes(document.service));
  });
}

async function waitFor(problem: string, isDone: () => Promise<boolean>): Promise<void> {
  const giveUpAtMs = monotonicNowMs() + readyBoundMs;
  while (!(await isDone().catch(() => false))) {
    if (monotonicNowMs() > giveUpAtMs) {
      throw new Error(problem);
    }
    await delay(pollMs);
  }
}
