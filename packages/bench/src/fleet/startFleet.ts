/**
 * Starts a fleet of real entries and agents with stand-ins for engines, plain services and the platform, and stops
 * it: entries first, the platform last. If the start fails, all processes are killed.
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
import type { EngineProfile } from './fleetTypes';

export interface StartFleetOptions extends StartBinaryOptions {
  description: FleetDescription;
  /** Groups of entries that share the same agents; experiments use one group per policy. */
  entryGroups: EntryGroup[];
  /** Callers' and admin port of the first entry; the other entries and the agents get the following ports. */
  firstPorts?: { entryPort: number; adminPort: number };
  /** Called for each process once it listens. */
  onStarted?: (started: RunningBinary) => void;
  /** Called for each process that ends before the fleet is stopped, with its signal or exit code. */
  onEnded?: (name: string, cause: string) => void;
}

export interface EntryGroup {
  /** Included in the ids of its entries unless empty. */
  name: string;
  count: number;
  /** Added to the settings that every entry needs. */
  settings: Record<string, string | number | undefined>;
}

export interface FleetEntry {
  group: string;
  callerAddress: string;
  adminAddress: string;
}

export interface FleetBackend {
  description: BackendDescription;
  /** Address of the engine or the plain service. */
  address: string;
  agentAdminAddress: string;
  /** Kills the backend server and its agent, like the loss of their instance. */
  kill(): void;
}

export interface Fleet {
  platformUrl: string;
  entries: FleetEntry[];
  /** The current backends; one that was replaced has its new addresses. */
  backends(): FleetBackend[];
  /** Restarts a killed backend under the same id; resolves once it is listed and its agent is ready. */
  replaceBackend(id: string): Promise<void>;
  /** Resolves with the names of the processes that did not stop gracefully. */
  stop(): Promise<string[]>;
  /** Kills all processes immediately. */
  kill(): void;
}

const host = '127.0.0.1';
const instanceLagMs = 500;
const readyTimeoutMs = 60_000;
const pollIntervalMs = 50;

type Stage = 'platform' | 'backends' | 'agents' | 'entries';
const stopOrder: readonly Stage[] = ['entries', 'agents', 'backends', 'platform'];

/** Starts the fleet; resolves once each entry offers the institution's services. */
export async function startFleet(options: StartFleetOptions): Promise<Fleet> {
  const { description, entryGroups, firstPorts, onStarted, onEnded } = options;
  const entryCount = entryGroups.reduce((sum, { count }) => sum + count, 0);
  const resolvePort = (first: number | undefined, index: number) => (first ? first + index : 0);
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
    const address = requireAddress(server, 'address');
    const agent = await launch('agents', agentSpec(backend, address, platformUrl, adminPort));
    const agentAdminAddress = requireAddress(agent, 'adminAddress');
    await registerInstance(platformUrl, backend.id, {
      kind: 'agent',
      service: backend.document.service,
      role: backend.role,
      dataCentre: backend.dataCentre,
      innerAddress: requireAddress(agent, 'innerAddress'),
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
    const entryPort = resolvePort(firstPorts?.entryPort, position);
    const adminPort = resolvePort(firstPorts?.adminPort, position);
    const ports = { entryPort, innerPort: 0, adminPort };
    const settings = { ...ports, ...group.settings, instanceId, dataCentre, platformUrl };
    const entry = await launch('entries', { name: instanceId, binary: 'bluebell-entry', settings });
    const adminAddress = requireAddress(entry, 'adminAddress');
    await registerInstance(platformUrl, instanceId, {
      kind: 'entry',
      dataCentre,
      innerAddress: requireAddress(entry, 'innerAddress'),
      adminAddress,
    });
    return {
      group: group.name,
      callerAddress: requireAddress(entry, 'callersAddress'),
      adminAddress,
    };
  }

  async function launchAll(): Promise<Pick<Fleet, 'platformUrl' | 'entries'>> {
    const platform = await launch('platform', platformSpec());
    const platformUrl = requireAddress(platform, 'address');
    const { services } = description;
    await Promise.all(
      services.map(({ document, text }) => applyDocument(platformUrl, document.service, text)),
    );
    await settleAll(
      description.backends.map((backend, index) =>
        launchBackend(platformUrl, backend, resolvePort(firstPorts?.adminPort, entryCount + index)),
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
    const ungraceful: string[] = [];
    for (const stage of stopOrder) {
      const running = started[stage].filter((process) => process.isRunning());
      const areGraceful = await Promise.all(running.map((process) => process.stop()));
      ungraceful.push(...running.filter((_, index) => !areGraceful[index]).map(({ name }) => name));
    }
    return ungraceful;
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
    // Entries must see the instance disappear from the list, not only its address change.
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

/** Waits for all promises even if one rejects, so that the caller knows every process that it must stop. */
async function settleAll<Value>(promises: Promise<Value>[]): Promise<Value[]> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}

function requireAddress({ name, addresses }: RunningBinary, field: string): string {
  const address = addresses[field];
  if (address === undefined) {
    throw new Error(`${name} did not log its ${field}`);
  }
  return address;
}

function platformSpec(): BinarySpec {
  return { name: 'platform', binary: 'standin-platform', settings: { host, instanceLagMs } };
}

/** Spec of a backend server; its agent is separate. */
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

/** Entries start after this, so that each finds all agents the first time it reads the list. */
function waitUntilListed(platformUrl: string, backends: BackendDescription[]): Promise<void> {
  return waitFor('the platform does not list all agents', async () => {
    const listed = (await listInstances(platformUrl)) as { id: string }[];
    return backends.every((backend) => listed.some(({ id }) => id === backend.id));
  });
}

/** An entry serves once it is ready and all documents are active there. */
async function waitUntilServing(entry: FleetEntry, { services }: FleetDescription): Promise<void> {
  await waitUntilReady(entry.callerAddress, entry.adminAddress);
  await waitFor(`${entry.callerAddress} does not offer the services`, async () => {
    const activeServices = (await readJson(`${entry.adminAddress}/debug/services`)) as {
      document: { service: string };
    }[];
    const names = activeServices.map(({ document }) => document.service);
    return services.every(({ document }) => names.includes(document.service));
  });
}

async function waitFor(timeoutMessage: string, isDone: () => Promise<boolean>): Promise<void> {
  const deadlineMs = monotonicNowMs() + readyTimeoutMs;
  while (!(await isDone().catch(() => false))) {
    if (monotonicNowMs() > deadlineMs) {
      throw new Error(timeoutMessage);
    }
    await delay(pollIntervalMs);
  }
}
