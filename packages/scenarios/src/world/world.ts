/**
 * Simulated deployment in one process: real entries and agents with stand-ins for the engines and the
 * platform, on a fake clock. Direct calls replace sockets; see `agentLink`.
 */
import type { ServiceDocument } from '@bluebellhitch/document';
import { objectKinds } from '@bluebellhitch/objects';
import type { WorkerRole } from '@bluebellhitch/protocol';
import { createSeededRandom, invariant, monotonicNowMs } from '@bluebellhitch/shared';
import {
  createPeerDirectory,
  createStandinPlatform,
  type StandinEngineOptions,
  type StandinPlatform,
} from '@bluebellhitch/standins';
import { callEntry, type CallerRequest, type SentRequest } from './callers';
import { createInvariantChecks, type InvariantChecks } from './invariants';
import { createNetwork, type Network } from './network';
import type { Safeguard } from './safeguards';
import { runOutsideProcesses, type SimulatedProcess } from './simulatedProcess';
import { createWorldAgent, type WorldAgent } from './worldAgent';
import { createWorldEntry, type WorldEntry } from './worldEntry';
import type { MembershipLinks } from './worldMembership';
import { createWorldTime, type PausedClock, type WorldTime } from './worldTime';

export interface WorldService {
  document: ServiceDocument;
  /** The role of each worker; a worker is an agent with its engine. */
  workers: readonly WorkerRole[];
  engine?: StandinEngineOptions;
}

export interface WorldOptions {
  clock: PausedClock;
  entryCount: number;
  services: readonly WorldService[];
  seed?: number;
  instanceLagMs?: number;
  disabledSafeguards?: readonly Safeguard[];
}

export interface World {
  time: WorldTime;
  platform: StandinPlatform;
  network: Network;
  entries: ReadonlyMap<string, WorldEntry>;
  /** By id. */
  agents: ReadonlyMap<string, WorldAgent>;
  /** By name, in the order of sending. */
  requests: ReadonlyMap<string, SentRequest>;
  /** Returns the request that the attempt belongs to. */
  requestOf(attemptId: string): string | undefined;
  checks: InvariantChecks;
  /** Writes instances and documents to the platform; resolves when all processes know of each other. */
  start(): Promise<void>;
  send(entryId: string, request: CallerRequest): SentRequest;
  /** Writes an accepted document directly to the platform. */
  putAccepted(document: ServiceDocument, generation: number): Promise<void>;
  close(): void;
}

const platformLatencyMs = 4;
const startupMs = 1_500;
/** Longest interval between two reads of the list of instances. */
const directoryRefreshMs = 7_000;
const renewalIntervalMs = 200;

export function createWorld(options: WorldOptions): World {
  const { services, seed = 1, disabledSafeguards = [] } = options;
  const time = createWorldTime(options.clock);
  const random = createSeededRandom(seed);
  const platform = createStandinPlatform({
    latencyMs: platformLatencyMs,
    instanceLagMs: options.instanceLagMs ?? 0,
    random,
  });
  const network = createNetwork();
  const peers = createPeerDirectory();
  const requests = new Map<string, SentRequest>();
  const attemptOwners = new Map<string, string>();
  const isDisabled = (safeguard: Safeguard) => disabledSafeguards.includes(safeguard);
  const links: MembershipLinks = {
    ...{ platform, network, random, isDisabled },
    feedAt: (address) => entries.get(address.replace('http://', ''))?.core(),
  };
  const agents = new Map(createAgents().map((agent) => [agent.instance.id, agent]));
  const entries = new Map(createEntries().map((entry) => [entry.instance.id, entry]));
  const checks = createInvariantChecks({
    agents: [...agents.values()],
    requests,
    requestOf: (attemptId) => attemptOwners.get(attemptId),
  });

  function createAgents(): WorldAgent[] {
    const wanted = services.flatMap(({ document, workers, engine }) =>
      workers.map((role, index) => ({ document, role, engine, index })),
    );
    return wanted.map(({ document, role, engine, index }, position) => {
      const id = `agent-${position + 1}`;
      const { dataCentres, models, service } = document;
      const agent = createWorldAgent({
        id,
        engineId: `engine-${position + 1}`,
        service,
        model: models[0]?.name ?? '',
        role,
        dataCentre: dataCentres[index % dataCentres.length] as string,
        engine,
        ...links,
        connectPeer: peers.connectPeer,
        onGeneration: (process, generation) => checks.onGeneration(process, service, generation),
        onGrant: (requestId, attemptId) => attemptOwners.set(attemptId, requestId),
      });
      peers.add(`http://${id}`, {
        openExport: (...input) => agent.engine().openExport(...input),
      });
      return agent;
    });
  }

  function createEntries(): WorldEntry[] {
    const dataCentres = services.flatMap(({ document }) => document.dataCentres);
    return Array.from({ length: options.entryCount }, (_, index) =>
      createWorldEntry({
        id: `entry-${index + 1}`,
        dataCentre: dataCentres[index % dataCentres.length] as string,
        ...links,
        agentAt: (address) => {
          const found = agents.get(address.replace('http://', ''));
          return (
            found && {
              id: found.instance.id,
              process: found.process(),
              agent: found.agent(),
              isUnresponsive: found.isUnresponsive,
            }
          );
        },
        onGeneration: (process, service, generation) =>
          checks.onGeneration(process, service, generation),
        sendToPeers: (strikes) =>
          [...entries.values()]
            .map((entry) => entry.core())
            .filter(({ process }) => process.state() === 'running')
            .forEach((core) => core.process.run(() => core.strikes.receive(strikes))),
      }),
    );
  }

  async function putAccepted(document: ServiceDocument, generation: number): Promise<void> {
    const { service } = document;
    const value = {
      ...{ generation, documentVersion: generation, document },
      acceptedAt: new Date().toISOString(),
    };
    const current = await advanceUntilSettled(platform.get(objectKinds.accepted, service));
    const written = await advanceUntilSettled(
      current.isOk()
        ? platform.update(objectKinds.accepted, service, current.value.version, value)
        : platform.create(objectKinds.accepted, service, value),
    );
    invariant(written.isOk(), 'accepted documents cannot be written while the platform is down');
  }

  /** Advances time until a call that the world itself makes has settled. */
  async function advanceUntilSettled<Value>(call: PromiseLike<Value>): Promise<Value> {
    let hasSettled = false;
    const result = Promise.resolve(call).finally(() => {
      hasSettled = true;
    });
    while (!hasSettled) {
      await time.advance(1);
    }
    return result;
  }

  /** Disables lease expiry: renews the leases of every entry process that ever ran. */
  function renewAllLeases(): void {
    const sendHeartbeat = (agent: WorldAgent, entryId: string, entryIncarnation: string) =>
      agent.process().state() === 'running' &&
      agent.process().run(() => agent.agent().handlers.heartbeat({ entryId, entryIncarnation }));
    setInterval(() => {
      [...agents.values()].forEach((agent) =>
        [...entries.values()].forEach(({ instance, incarnations }) =>
          incarnations.forEach((incarnation) => sendHeartbeat(agent, instance.id, incarnation)),
        ),
      );
    }, renewalIntervalMs);
  }

  async function start(): Promise<void> {
    [...agents.values(), ...entries.values()].forEach(({ instance }) =>
      platform.control.putInstance(instance),
    );
    for (const { document } of services) {
      await putAccepted(document, 1);
    }
    if (isDisabled('lease-expiry')) {
      runOutsideProcesses(renewAllLeases);
    }
    const { instanceLagMs = 0 } = options;
    await time.advance(instanceLagMs === 0 ? startupMs : instanceLagMs + directoryRefreshMs);
  }

  return {
    time,
    platform,
    network,
    entries,
    agents,
    requests,
    requestOf: (attemptId) => attemptOwners.get(attemptId),
    checks,
    start,
    send: (entryId, request) => {
      const entry = entries.get(entryId);
      invariant(entry !== undefined, `there is no ${entryId}`);
      invariant(!requests.has(request.name), `${request.name} has been sent before`);
      const sent = callEntry({ core: entry.core(), request, latencyMs: 1 });
      requests.set(request.name, sent);
      return sent;
    },
    putAccepted,
    close: time.close,
  };
}

/** Monotonic time of the world. */
export const worldNowMs = monotonicNowMs;
export type { SimulatedProcess };
