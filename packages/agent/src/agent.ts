/**
 * The agent of one backend server, which is the only process that grants the server's memory or slots. This
 * module assembles the components that need no sockets; `innerServer` adds the network interface.
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
import { createLeaseReleaser, type LeaseReleaser } from './leaseReleaser';
import { drainLeases } from './drainLeases';
import { reportLoad } from './loadReport';
import { createModelBid } from './modelBid';
import { createModelComponents } from './modelComponents';
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
  /** Identifies one run of the process; changes with each start. */
  incarnation: string;
  backend: AgentBackend;
  /** Role reported until the engine has reported its own. */
  initialRole?: WorkerRole;
  /** Reads the fencing number of the service's order duty from the platform. */
  readFencingNumber: ReadFencingNumber;
  observer?: Partial<AgentObserver>;
  random?: Random;
  tickIntervalMs?: number;
}

export interface Agent {
  handlers: AgentHandlers;
  runStream(request: StreamRequest, sink: FrameSink, signal: AbortSignal): Promise<void>;
  /** Resolves once the engine responds and memory that it still holds for earlier work is in the lease table. */
  start(): Promise<void>;
  /** Ignores a document whose generation is not above that of the active one. */
  applyDocument(accepted: AcceptedDocument): void;
  /** Refuses new reservations from now on; granted ones are still served. */
  leave(): void;
  /** Resolves with true once no work is left; with false after `timeoutMs`, when the rest was cancelled. */
  drain(timeoutMs: number): Promise<boolean>;
  close(): void;
  isReady(): boolean;
  config(): AgentConfig;
  load(): LoadHint;
  /** For the plain proxy, whose calls take leases from the same table. */
  leasing: LeaseComponents;
}

export interface LeaseComponents {
  table: LeaseTable;
  releaser: LeaseReleaser;
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
  const cachedPrefix = createCachedPrefix(cacheView);
  const backlog = createPrefillBacklog();
  const table = createLeaseTable({ capacity: { kvBytes: 0, slots: 0 } });
  const bidSources = { table, backlog, estimates };
  let config = defaultAgentConfig;
  let isStopping = false;
  let hasReconciled = backend.kind === 'plain';
  let lastReportedRole: WorkerRole = options.initialRole ?? 'both';
  let tickTimer: NodeJS.Timeout | undefined;

  const isLeaving = () => isStopping || config.drainedInstances.includes(instanceId);
  const engine = backend.kind === 'model' ? backend.engine : undefined;

  const admission = createAdmission({ table });
  const releaser = createLeaseReleaser({
    table,
    engine,
    onCancelFailed: observer.onCancelFailed,
    onEnded: (attemptId) => {
      reservations.forget(attemptId);
      observer.onEnded(attemptId);
      admission.processQueue();
    },
  });
  const reservations: Reservations = createReservations({
    service,
    incarnation,
    table,
    admission,
    releaser,
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
      onLoad: applyEngineLoad,
      onDown: () => admission.refuseAllWaiting(agentRefusalReasons.notReady, 'the engine is down'),
      onPoll: async () => {
        hasReconciled = (await releaser.reconcile()) || hasReconciled;
      },
    });
  const modelComponents =
    backend.kind === 'model'
      ? createModelComponents({
          ...backend,
          service,
          table,
          releaser,
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
          uncachedTokens: cachedPrefix.uncachedTokens,
        })
      : undefined;

  function applyEngineLoad(engineLoad: EngineLoad): void {
    table.setCapacity({ kvBytes: engineLoad.capacityKvBytes, slots: engineLoad.slotCount });
    estimates.reportStep(engineLoad.stepMs);
    lastReportedRole = engineLoad.role;
    admission.processQueue();
  }

  function role(): WorkerRole | undefined {
    if (backend.kind === 'plain') {
      return 'plain';
    }
    return hasReconciled ? monitor?.current()?.role : undefined;
  }

  function load(): LoadHint {
    return reportLoad({ table, admission, estimates, role: reportedRole(), leaving: isLeaving() });
  }

  function reportedRole(): WorkerRole {
    return backend.kind === 'plain' ? 'plain' : lastReportedRole;
  }

  async function bid(request: BidRequest): Promise<Bid> {
    const isServed = request.service === service && role() !== undefined && !isLeaving();
    const kvBytes = reservations.requiredKvBytes({
      purpose: backend.kind === 'plain' ? 'plain' : toPurpose(lastReportedRole),
      ...request,
    });
    return {
      incarnation,
      load: load(),
      cachedPrefixTokens: Math.min(
        cachedPrefix.cachedTokens(request.prefixBlocks),
        request.promptTokens,
      ),
      usableInMs: isServed ? admission.usableInMs(kvBytes) : undefined,
      ...(backend.kind === 'model'
        ? createModelBid({
            ...backend,
            ...bidSources,
            role: lastReportedRole,
            promptKvBytes: kvBytes,
          })
        : {}),
    };
  }

  async function prefill(request: PrefillRequest, signal?: AbortSignal): Promise<PrefillReply> {
    return modelComponents === undefined
      ? {
          kind: 'refused',
          reason: agentRefusalReasons.wrongRole,
          notRun: true,
          detail: 'a plain service',
          load: load(),
        }
      : modelComponents.prefills.run(request, signal);
  }

  async function runStream(
    request: StreamRequest,
    sink: FrameSink,
    signal: AbortSignal,
  ): Promise<void> {
    if (modelComponents !== undefined) {
      return modelComponents.streams.run(request, sink, signal);
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
      highestFencingNumber: modelComponents?.orders.highestFencingNumber() ?? 0,
      leaving: isLeaving(),
    };
  }

  function tick(): void {
    table.lapsed(monotonicNowMs()).forEach(({ attemptId }) => {
      observer.onLapsed(attemptId);
      releaser.release(attemptId);
    });
    admission.processQueue();
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
    admission.processQueue();
  }

  /** A plain service has no KV cache; its capacity is counted in slots for both fields. */
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
    tickTimer = setInterval(tick, tickIntervalMs);
    void modelComponents?.orders.waitForFencingNumber();
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
        modelComponents === undefined
          ? { kind: 'failed', detail: 'a plain service', effect: 'none' }
          : modelComponents.orders.execute(request),
    },
    runStream,
    start,
    applyDocument,
    drain: (timeoutMs) => drainLeases(table, releaser, timeoutMs),
    load,
    leave: () => {
      isStopping = true;
      refuseWaitingIfLeaving();
    },
    close: () => {
      clearInterval(tickTimer);
      monitor?.close();
      releaser.close();
      modelComponents?.orders.close();
    },
    isReady: () => !isLeaving() && role() !== undefined,
    config: () => config,
    leasing: { table, releaser, attempts, estimates, reservations },
  };
}

function toPurpose(role: WorkerRole): 'prefill' | 'decode' {
  return role === 'prefill' ? 'prefill' : 'decode';
}
