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
  readJson,
  readText,
  registerInstance,
  removeInstance,
} from './controlCalls';
import type { BackendDescription, EngineProfile, FleetDescription } from './fleetDescription';

export interface StartFleetOptions extends StartBinaryOptions {
  description: FleetDescription;
  /** Sets of entries beside the same agents; one an experiment's policy. */
  entryGroups: EntryGroup[];
}

export interface EntryGroup {
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
  stop(): Promise<void>;
}

const host = '127.0.0.1';
const instanceLagMs = 500;
const readyBoundMs = 60_000;
const pollMs = 50;

type Stage = 'platform' | 'backends' | 'agents' | 'entries';
const stopOrder: readonly Stage[] = ['entries', 'agents', 'backends', 'platform'];

/** Starts the fleet; resolves once each entry offers the institution's services. */
export async function startFleet(options: StartFleetOptions): Promise<Fleet> {
  const { description, entryGroups } = options;
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
    return running;
  }

  async function launchBackend(platformUrl: string, backend: BackendDescription): Promise<void> {
    const server = await launch('backends', backendSpec(backend, description.engine));
    const address = addressOf(server, 'address');
    const agent = await launch('agents', agentSpec(backend, address, platformUrl));
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
    const kill = () => [server, agent].forEach((process) => process.kill());
    backends.set(backend.id, { description: backend, address, agentAdminAddress, kill });
  }

  async function launchEntry(
    platformUrl: string,
    group: EntryGroup,
    index: number,
  ): Promise<FleetEntry> {
    const { dataCentres } = description;
    const dataCentre = dataCentres[index % dataCentres.length] ?? 'unknown';
    const instanceId = `entry-${group.name}-${index + 1}`;
    const settings = { ...group.settings, instanceId, dataCentre, platformUrl };
    const entry = await launch('entries', entrySpec(instanceId, settings));
    const adminAddress = addressOf(entry, 'adminAddress');
    await registerInstance(platformUrl, instanceId, {
      kind: 'entry',
      dataCentre,
      innerAddress: addressOf(entry, 'innerAddress'),
      adminAddress,
    });
    return { group: group.name, callerAddress: addressOf(entry, 'callersAddress'), adminAddress };
  }

  async function launchAll(): Promise<Omit<Fleet, 'stop' | 'backends' | 'replaceBackend'>> {
    const platform = await launch('platform', platformSpec());
    const platformUrl = addressOf(platform, 'address');
    const { services } = description;
    await Promise.all(
      services.map(({ document, text }) => applyDocument(platformUrl, document.service, text)),
    );
    await settleAll(description.backends.map((backend) => launchBackend(platformUrl, backend)));
    const entries = await settleAll(
      entryGroups.flatMap((group) =>
        Array.from({ length: group.count }, (_, index) => launchEntry(platformUrl, group, index)),
      ),
    );
    await Promise.all(entries.map((entry) => waitUntilServing(entry, description)));
    return { platformUrl, entries };
  }

  async function stop(): Promise<void> {
    for (const stage of stopOrder) {
      await Promise.all(started[stage].map((process) => process.stop()));
    }
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
      stop,
    };
  } catch (error) {
    Object.values(started)
      .flat()
      .forEach((process) => process.kill());
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
): BinarySpec {
  const settings = {
    instanceId: id,
    dataCentre,
    service: document.service,
    backendKind: document.kind,
    role,
    backendUrl,
    platformUrl,
    adminPort: 0,
  };
  return { name: `${id}-agent`, binary: 'bluebell-agent', settings };
}

function entrySpec(name: string, settings: BinarySpec['settings']): BinarySpec {
  const ports = { entryPort: 0, innerPort: 0, adminPort: 0 };
  return { name, binary: 'bluebell-entry', settings: { ...ports, ...settings } };
}

function waitUntilReady(name: string, adminAddress: string): Promise<void> {
  return waitFor(`${name} is not ready`, async () => {
    await readText(`${adminAddress}/readyz`);
    return true;
  });
}

function waitUntilServing(entry: FleetEntry, { services }: FleetDescription): Promise<void> {
  const modelServices = services.filter(({ document }) => document.kind === 'model');
  return waitFor(`${entry.callerAddress} does not offer the services`, async () => {
    const { data } = (await readJson(`${entry.callerAddress}/v1/models`)) as {
      data: { id: string }[];
    };
    return modelServices.every(({ document }) => data.some(({ id }) => id === document.service));
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
