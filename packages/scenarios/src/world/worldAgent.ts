/** A simulated agent and its stand-in engine, across all restarts of either. */
import { createAgent, type Agent } from '@bluebellhitch/agent';
import type { AcceptedDocument } from '@bluebellhitch/document';
import { objectKinds, type PlatformApi, type PlatformInstance } from '@bluebellhitch/objects';
import {
  feedKinds,
  type OrderReply,
  type OrderRequest,
  type WorkerRole,
} from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import {
  createStandinEngine,
  type KvPeer,
  type StandinEngine,
  type StandinEngineOptions,
} from '@bluebellhitch/standins';
import { okAsync, errAsync } from 'neverthrow';
import { gateEngine, gatePlatform } from './gates';
import { createSimulatedProcess, type SimulatedProcess } from './simulatedProcess';
import { startMembership, type MembershipLinks } from './worldMembership';

export interface WorldAgentOptions extends MembershipLinks {
  id: string;
  engineId: string;
  service: string;
  model: string;
  role: WorkerRole;
  dataCentre: string;
  engine?: StandinEngineOptions;
  connectPeer: (kvAddress: string) => KvPeer;
  /** Called with each generation that the agent applies. */
  onGeneration: (process: SimulatedProcess, generation: number) => void;
  onGrant: (requestId: string, attemptId: string) => void;
}

export interface WorldAgent {
  instance: PlatformInstance;
  engineId: string;
  /** The current process and agent. */
  process(): SimulatedProcess;
  agent(): Agent;
  engineProcess: SimulatedProcess;
  engine(): StandinEngine;
  isEngineDown(): boolean;
  /** All engines that ran here; the last is the current one. */
  engines(): readonly StandinEngine[];
  /** Monotonic times of the granted reservations. */
  grantTimesMs: readonly number[];
  leavingSinceMs(): number | undefined;
  order(request: OrderRequest): Promise<OrderReply>;
  /** Crashes the process; its connections close. */
  crash(): void;
  /** Crashes the process without closing its connections, as when the machine loses power. */
  vanish(): void;
  isUnresponsive(): boolean;
  /** Replaces the process, such as one that has crashed or is leaving, by a new one. */
  restart(): void;
  leave(): void;
  restartEngine(): void;
}

const linkBytesPerSecond = 4_000_000_000;

export function createWorldAgent(options: WorldAgentOptions): WorldAgent {
  const { id, engineId, service, dataCentre, role, isDisabled } = options;
  const innerAddress = `http://${id}`;
  const engineProcess = createSimulatedProcess(engineId);
  const engines: StandinEngine[] = [];
  const grantTimesMs: number[] = [];
  let startCount = 0;
  let leavingSinceMs: number | undefined;
  let isEngineDown = false;
  let isUnresponsive = false;
  let current: { process: SimulatedProcess; agent: Agent };

  const engine = () => engines.at(-1) as StandinEngine;

  function startEngine(): void {
    const { model, connectPeer } = options;
    const models = [{ model, version: '1' }];
    const started: StandinEngine = engineProcess.run(() =>
      createStandinEngine({
        ...options.engine,
        ...{ models, role, connectPeer },
        onCrash: () => {
          isEngineDown = started === engine();
        },
      }),
    );
    isEngineDown = false;
    engines.push(started);
  }

  function start(): void {
    isUnresponsive = false;
    startCount += 1;
    const incarnation = `${id}.${startCount}`;
    const process = createSimulatedProcess(id);
    const platform = gatePlatform(process, options.platform, options.network);
    current = { process, agent: process.run(() => startAgent(incarnation, process, platform)) };
  }

  function startAgent(
    incarnation: string,
    process: SimulatedProcess,
    platform: PlatformApi,
  ): Agent {
    const gated = gateEngine({ caller: process, callee: engineProcess, engine });
    const agent = createAgent({
      instanceId: id,
      service,
      incarnation,
      backend: {
        kind: 'model',
        engine: isDisabled('engine-list') ? { ...gated, streams: () => okAsync([]) } : gated,
        kvAddress: innerAddress,
        kvRateBytesPerSecond: linkBytesPerSecond,
      },
      initialRole: role,
      readFencingNumber: () => readOrderFencing(platform, service),
      random: () => 0.5,
    });
    void agent.start();
    startMembership({
      ...options,
      ...{ process, platform, service, dataCentre },
      onRecord: ({ kind, value }) => {
        if (kind !== feedKinds.accepted) {
          return;
        }
        const accepted = value as AcceptedDocument;
        const { generation } = agent.config();
        agent.applyDocument(accepted);
        if (agent.config().generation !== generation) {
          options.onGeneration(process, accepted.documentVersion);
        }
      },
    });
    return { ...agent, handlers: recordGrants(agent) };
  }

  function recordGrants({ handlers }: Agent): Agent['handlers'] {
    return {
      ...handlers,
      reserve: async (request, signal) => {
        const reply = await handlers.reserve(request, signal);
        if (reply.kind === 'granted') {
          grantTimesMs.push(monotonicNowMs());
          options.onGrant(request.requestId, request.attemptId);
        }
        return reply;
      },
    };
  }

  async function order(request: OrderRequest): Promise<OrderReply> {
    const { process, agent } = current;
    await process.whenRunning();
    if (!isDisabled('order-guard')) {
      return process.run(() => agent.handlers.order(request));
    }
    const done = await engineProcess.run(() => engine().order(request.order, 0));
    return done.isOk() ? { kind: 'done' } : { kind: 'failed', detail: 'engine', effect: 'unknown' };
  }

  startEngine();
  start();
  return {
    instance: { id, kind: 'agent', service, role, dataCentre, innerAddress, state: 'live' },
    engineId,
    process: () => current.process,
    agent: () => current.agent,
    engineProcess,
    engine,
    isEngineDown: () => isEngineDown,
    engines: () => engines,
    grantTimesMs,
    leavingSinceMs: () => leavingSinceMs,
    order,
    crash: () => current.process.crash(),
    vanish: () => {
      isUnresponsive = true;
      current.process.crash();
    },
    isUnresponsive: () => isUnresponsive,
    restart: () => {
      current.process.crash();
      leavingSinceMs = undefined;
      start();
    },
    leave: () => {
      leavingSinceMs = monotonicNowMs();
      if (!isDisabled('leaving-refusal')) {
        current.process.run(current.agent.leave);
      }
    },
    restartEngine: () => {
      engine().crash();
      startEngine();
    },
  };
}

function readOrderFencing(platform: PlatformApi, service: string) {
  return platform
    .get(objectKinds.lease, `orders/${service}`)
    .map(({ value }) => (value as { fencingNumber: number }).fencingNumber)
    .orElse((error) => (error.kind === 'not-found' ? okAsync(0) : errAsync(error)));
}
