/**
 * The agent of one backend server: it alone grants the server's memory or slots. Everything that
 * needs no socket is put together here; `innerServer` gives it its sockets.
 */
import {
  createCacheView,
  createLeaseTable,
  createPrefillBacklog,
  type LeaseTable,
} from '@bluebellhitch/decisions';
import type { AcceptedDocument } from '@bluebellhitch/document';
import type { EngineApi, EngineLoad } from '@bluebellhitch/engine';
import {
  agentRefusalReasons,
  type AgentHandlers,
  type Bid,
  type BidRequest,
  type LoadHint,
  type PrefillReply,
  type PrefillRequest,
  type StreamRequest,
  type WorkerRole,
  type WorkerState,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { createAdmission } from './admission';
import { configFromDocument, defaultAgentConfig, type AgentConfig } from './agentConfig';
import { createAgentObserver, type AgentObserver } from './agentObserver';
import { createAttemptRecord, type AttemptRecord } from './attemptRecord';
import { createCachedPrefix } from './cachedPrefix';
import { createEngineMonitor } from './engineMonitor';
import { createLeaseKeeper, type LeaseKeeper } from './leaseKeeper';
import { drainLeases } from './drainLeases';
import { reportLoad } from './loadReport';
import { describeModel } from './modelBid';
import { createModelParts } from './modelParts';
import type { ReadFencingNumber } from './orderExecutor';
import { createReservations, type Reservations } from './reservations';
import type { FrameSink } from './chunkForwarder';
import { createWorkEstimates, type WorkEstimates } from './workEstimates';

export type AgentBackend =
  | { kind: 'model'; engine: EngineApi; kvAddress: string; kvRateBytesPerSecond: number }
  | { kind: 'plain' };

export interface AgentOptions {
  instanceId: string;
  service: string;
  /** Changes with each start of the process. */
  incarnation: string;
  backend: AgentBackend;
  /** Reported until the engine has told its own. */
  initialRole?: WorkerRole;
  /** Reads the fencing number of the service's duty lease from the platform. */
  readFencingNumber: ReadFencingNumber;
  observer?: Partial<AgentObserver>;
  random?: Random;
  tickIntervalMs?: number;
}

export interface Agent {
  handlers: AgentHandlers;
  runStream(request: StreamRequest, sink: FrameSink, signal: AbortSignal): Promise<void>;
  /** Resolves once the backend server is known and memory left from before is in the books. */
  start(): Promise<void>;
  /** A lower generation than the one in force is ignored. */
  applyDocument(accepted: AcceptedDocument): void;
  /** Refuses new work from now on. */
  leave(): void;
  /** Resolves once nothing is held, or with false after `boundMs`; what is left is then cancelled. */
  drain(boundMs: number): Promise<boolean>;
  close(): void;
  isReady(): boolean;
  config(): AgentConfig;
  load(): LoadHint;
  /** For the plain proxy, which runs its calls under the same books. */
  books: AgentBooks;
}

export interface AgentBooks {
  table: LeaseTable;
  keeper: LeaseKeeper;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  reservations: Reservations;
}

const defaultTickIntervalMs = 100;

export function createAgent(options: AgentOptions): Agent {
  const { backend, instanceId, service, incarnation } = options;
  const { tickIntervalMs = defaultTickIntervalMs } = options;
  const observer = createAgentObserver(options.observer);
  const estimates = createWorkEstimates({ service });
  const attempts = createAttemptRecord();
  const cacheView = createCacheView();
  const cached = createCachedPrefix(cacheView);
  const backlog = createPrefillBacklog();
  const table = createLeaseTable({ capacity: { kvBytes: 0, slots: 0 } });
  const books = { table, backlog, estimates };
  let config = defaultAgentConfig;
  let isStopping = false;
  let hasAudited = backend.kind === 'plain';
  let lastRole: WorkerRole = options.initialRole ?? 'both';
  let ticker: NodeJS.Timeout | undefined;

  const isLeaving = () => isStopping || config.drainedInstances.includes(instanceId);
  const engine = backend.kind === 'model' ? backend.engine : undefined;

  const admission = createAdmission({ table });
  const keeper = createLeaseKeeper({
    table,
    engine,
    onCancelFailed: observer.onCancelFailed,
    onEnded: (attemptId) => {
      reservations.forget(attemptId);
      observer.onEnded(attemptId);
      admission.pump();
    },
  });
  const reservations: Reservations = createReservations({
    service,
    incarnation,
    table,
    admission,
    keeper,
    attempts,
    estimates,
    observer,
    load,
    role,
    isLeaving,
    kvBytesPerToken: () => monitor?.current()?.kvBytesPerToken ?? 0,
  });
  const monitor =
    engine &&
    createEngineMonitor({
      engine,
      cacheView,
      onLoad: takeEngineLoad,
      onDown: () => admission.refuseAllWaiting(agentRefusalReasons.notReady, 'the engine is down'),
      onPoll: async () => {
        hasAudited = (await keeper.audit()) || hasAudited;
      },
    });
  const model =
    backend.kind === 'model'
      ? createModelParts({
          ...backend,
          service,
          table,
          keeper,
          admission,
          attempts,
          estimates,
          reservations,
          observer,
          load,
          readFencingNumber: options.readFencingNumber,
          random: options.random,
          onCached: (blocks) => cacheView.observe(blocks, monotonicNowMs()),
          backlog,
          uncachedTokens: cached.uncachedTokens,
        })
      : undefined;

  function takeEngineLoad(engineLoad: EngineLoad): void {
    table.setCapacity({ kvBytes: engineLoad.capacityKvBytes, slots: engineLoad.slotCount });
    estimates.reportStep(engineLoad.stepMs);
    lastRole = engineLoad.role;
    admission.pump();
  }

  function role(): WorkerRole | undefined {
    if (backend.kind === 'plain') {
      return 'plain';
    }
    return hasAudited ? monitor?.current()?.role : undefined;
  }

  function load(): LoadHint {
    return reportLoad({ table, admission, estimates, role: reportedRole(), leaving: isLeaving() });
  }

  function reportedRole(): WorkerRole {
    return backend.kind === 'plain' ? 'plain' : lastRole;
  }

  async function bid(request: BidRequest): Promise<Bid> {
    const isServed = request.service === service && role() !== undefined && !isLeaving();
    const kvBytes = reservations.kvBytesOf({
      purpose: backend.kind === 'plain' ? 'plain' : purposeOf(lastRole),
      ...request,
    });
    return {
      incarnation,
      load: load(),
      cachedPrefixTokens: Math.min(cached.cachedTokens(request.prefixBlocks), request.promptTokens),
      usableInMs: isServed ? admission.usableInMs(kvBytes) : undefined,
      ...(backend.kind === 'model'
        ? describeModel({ ...backend, ...books, role: lastRole, promptKvBytes: kvBytes })
        : {}),
    };
  }

  async function prefill(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply> {
    return model === undefined
      ? {
          kind: 'refused',
          reason: agentRefusalReasons.wrongRole,
          notRun: true,
          detail: 'a plain service',
          load: load(),
        }
      : model.prefills.run(request, signal);
  }

  async function runStream(
    request: StreamRequest,
    sink: FrameSink,
    signal: AbortSignal,
  ): Promise<void> {
    if (model !== undefined) {
      return model.streams.run(request, sink, signal);
    }
    return sink({
      kind: 'failed',
      attemptId: request.attemptId,
      reason: agentRefusalReasons.wrongRole,
      notRun: true,
      detail: 'a plain service',
      backendDied: false,
    });
  }

  async function workerState(): Promise<WorkerState> {
    const engineLoad = monitor?.current();
    return {
      incarnation,
      role: reportedRole(),
      models: engineLoad?.models ?? [],
      adapters: engineLoad?.adapters ?? [],
      highestFencingNumber: model?.orders.highestFencingNumber() ?? 0,
      leaving: isLeaving(),
    };
  }

  function tick(): void {
    table.lapsed(monotonicNowMs()).forEach(({ attemptId }) => {
      observer.onLapsed(attemptId);
      keeper.giveUp(attemptId);
    });
    admission.pump();
  }

  function applyDocument(accepted: AcceptedDocument): void {
    if (accepted.document.service !== service || accepted.generation <= config.generation) {
      return;
    }
    config = configFromDocument(accepted);
    admission.setClasses(config.classes);
    if (backend.kind === 'plain') {
      setSlots(config.slotsPerServer);
    }
    refuseWaitingIfLeaving();
    admission.pump();
  }

  /** On a plain service one unit of memory is one slot. */
  function setSlots(slots: number): void {
    table.setCapacity({ kvBytes: slots, slots });
  }

  function refuseWaitingIfLeaving(): void {
    if (isLeaving()) {
      admission.refuseAllWaiting(
        agentRefusalReasons.leaving,
        'this backend server takes no new work',
      );
    }
  }

  async function start(): Promise<void> {
    if (backend.kind === 'plain') {
      setSlots(config.slotsPerServer);
    }
    ticker = setInterval(tick, tickIntervalMs);
    void model?.orders.learn();
    await monitor?.start();
  }

  return {
    handlers: {
      bid,
      prefill,
      workerState,
      reserve: reservations.reserve,
      cancel: async (reference) => reservations.cancel(reference),
      heartbeat: async (heartbeat) => reservations.heartbeat(heartbeat),
      order: async (request) =>
        model === undefined
          ? { kind: 'failed', detail: 'a plain service', effect: 'none' }
          : model.orders.execute(request),
    },
    runStream,
    start,
    applyDocument,
    drain: (boundMs) => drainLeases(table, keeper, boundMs),
    load,
    leave: () => {
      isStopping = true;
      refuseWaitingIfLeaving();
    },
    close: () => {
      clearInterval(ticker);
      monitor?.close();
      keeper.close();
      model?.orders.close();
    },
    isReady: () => !isLeaving() && role() !== undefined,
    config: () => config,
    books: { table, keeper, attempts, estimates, reservations },
  };
}

function purposeOf(role: WorkerRole): 'prefill' | 'decode' {
  return role === 'prefill' ? 'prefill' : 'decode';
}
