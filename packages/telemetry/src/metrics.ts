/**
 * Metrics of entries and agents in the Prometheus format, through prom-client. Each set of metrics has its
 * own registry, so that several sets can exist in one test process.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { AgentRefusalReason } from '@bluebellhitch/protocol';
import type { RefusalReason } from '@bluebellhitch/shared';
import {
  byteDirections,
  claimOutcomes,
  droppedFrameCauses,
  leaseStates,
  retryCauses,
  wastedPrefillCauses,
  type ByteDirection,
  type ClaimOutcome,
  type DroppedFrameCause,
  type LeaseState,
  type RequestOutcome,
  type RequestPhase,
  type RetryCause,
  type WastedPrefillCause,
} from './metricValues';
import { createServiceLabels, type LabelledService, type RequestLabels } from './serviceLabels';

/** The part of a set of metrics that the admin server needs. */
export interface RenderedMetrics {
  contentType: string;
  render(): Promise<string>;
}

/** Metrics that entries and agents share. */
export interface CommonMetrics extends RenderedMetrics {
  /** Adds a document's service, institution and classes to the permitted label values. */
  addServiceLabels(service: LabelledService): void;
  removeServiceLabels(serviceName: string): void;
  observePhase(phase: RequestPhase, labels: RequestLabels, durationMs: number): void;
  countPrefillTokens(tokenCount: number): void;
  countWastedPrefillTokens(cause: WastedPrefillCause, tokenCount: number): void;
  countRefusal(reason: RefusalReason | AgentRefusalReason): void;
  countDroppedFrame(cause: DroppedFrameCause): void;
  countControlBytes(direction: ByteDirection, byteCount: number): void;
  /** Counts a call of the inner protocol without valid credentials. */
  countUnauthenticated(): void;
  setConfigurationGeneration(serviceName: string, generation: number): void;
}

export interface EntryMetrics extends CommonMetrics {
  countRequest(labels: RequestLabels, outcome: RequestOutcome): void;
  /** Counts a request that completed within both latency targets. */
  countGoodput(labels: RequestLabels): void;
  countClaim(outcome: ClaimOutcome): void;
  countRetry(cause: RetryCause): void;
}

export interface AgentMetrics extends CommonMetrics {
  /** Sets how many leases are in a state. */
  setLeases(state: LeaseState, count: number): void;
}

const requestLabelNames = ['service', 'institution', 'class'] as const;
const msPerSecond = 1000;
/** At the library's default of 10 ms the event loop monitor causes most of an idle process's work. */
const eventLoopPrecisionMs = 100;

/** Finest around the usual targets: 28 ms between tokens and, in `phaseBuckets`, 620 ms to the first token. */
const tokenGapBuckets = [0.005, 0.01, 0.015, 0.02, 0.025, 0.028, 0.035, 0.05, 0.075, 0.1, 0.25, 1];
const phaseBuckets = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.62, 0.8, 1.2, 2, 4, 8, 16, 60,
];

const phaseHistograms: Record<RequestPhase, { name: string; help: string; buckets: number[] }> = {
  firstToken: {
    name: 'bluebell_first_token_seconds',
    help: 'From arrival of the request to its first token.',
    buckets: phaseBuckets,
  },
  betweenTokens: {
    name: 'bluebell_between_tokens_seconds',
    help: 'Time between consecutive tokens.',
    buckets: tokenGapBuckets,
  },
  queue: {
    name: 'bluebell_queue_seconds',
    help: 'Wait for a lease.',
    buckets: phaseBuckets,
  },
  prefill: {
    name: 'bluebell_prefill_seconds',
    help: 'Prefill of the prompt.',
    buckets: phaseBuckets,
  },
  transfer: {
    name: 'bluebell_transfer_seconds',
    help: 'Transfer of KV cache to the decode engine.',
    buckets: phaseBuckets,
  },
  decode: {
    name: 'bluebell_decode_seconds',
    help: 'From the first token to the end of the answer.',
    buckets: phaseBuckets,
  },
};

/** Creates the metrics of an entry. */
export function createEntryMetrics(): EntryMetrics {
  const { registry, labels, common } = createCommonMetrics();
  const registers = [registry];
  const requests = new Counter({
    name: 'bluebell_requests_total',
    help: 'Requests by how they ended.',
    labelNames: [...requestLabelNames, 'outcome'],
    registers,
  });
  const goodput = new Counter({
    name: 'bluebell_goodput_total',
    help: 'Requests completed within both latency targets.',
    labelNames: requestLabelNames,
    registers,
  });
  const claims = createLabelledCounter(registry, {
    name: 'bluebell_claims_total',
    help: 'At-most-once claims by what became of them.',
    labelName: 'outcome',
    values: Object.values(claimOutcomes),
  });
  const retries = createLabelledCounter(registry, {
    name: 'bluebell_retries_total',
    help: 'Further attempts by cause; budget-exhausted counts those not made.',
    labelName: 'cause',
    values: Object.values(retryCauses),
  });
  return {
    ...common,
    countRequest: (request, outcome) => requests.inc({ ...labels.resolve(request), outcome }),
    countGoodput: (request) => goodput.inc({ ...labels.resolve(request) }),
    countClaim: (outcome) => claims.inc({ outcome }),
    countRetry: (cause) => retries.inc({ cause }),
  };
}

/** Creates the metrics of an agent. */
export function createAgentMetrics(): AgentMetrics {
  const { registry, common } = createCommonMetrics();
  const leases = new Gauge({
    name: 'bluebell_engine_leases',
    help: 'Leases of the backend server by state.',
    labelNames: ['state'],
    registers: [registry],
  });
  Object.values(leaseStates).forEach((state) => leases.set({ state }, 0));
  return { ...common, setLeases: (state, count) => leases.set({ state }, count) };
}

function createCommonMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const labels = createServiceLabels();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: eventLoopPrecisionMs,
  });
  const phases = createPhaseHistograms(registry);
  const prefillTokens = new Counter({
    name: 'bluebell_prefill_tokens_total',
    help: 'Prompt tokens prefilled.',
    registers,
  });
  const wastedPrefillTokens = createLabelledCounter(registry, {
    name: 'bluebell_wasted_prefill_tokens_total',
    help: 'Prefilled prompt tokens whose result was never used.',
    labelName: 'cause',
    values: Object.values(wastedPrefillCauses),
  });
  const refusals = createLabelledCounter(registry, {
    name: 'bluebell_refusals_total',
    help: 'Refusals by reason.',
    labelName: 'reason',
    values: [],
  });
  const droppedFrames = createLabelledCounter(registry, {
    name: 'bluebell_stream_frames_dropped_total',
    help: 'Frames of answers that were thrown away.',
    labelName: 'cause',
    values: Object.values(droppedFrameCauses),
  });
  const controlBytes = createLabelledCounter(registry, {
    name: 'bluebell_control_bytes_total',
    help: 'Bytes of control messages: configuration, membership, heartbeats.',
    labelName: 'direction',
    values: Object.values(byteDirections),
  });
  const unauthenticated = new Counter({
    name: 'bluebell_inner_unauthenticated_total',
    help: 'Calls of the inner protocol refused for lack of valid credentials.',
    registers,
  });
  const generations = new Gauge({
    name: 'bluebell_configuration_generation',
    help: 'Generation of the accepted document in force.',
    labelNames: ['service'],
    registers,
  });
  const common: CommonMetrics = {
    contentType: registry.contentType,
    render: () => registry.metrics(),
    addServiceLabels: labels.add,
    removeServiceLabels(serviceName) {
      generations.remove({ service: serviceName });
      labels.remove(serviceName);
    },
    observePhase: (phase, request, durationMs) =>
      phases[phase].observe({ ...labels.resolve(request) }, durationMs / msPerSecond),
    countPrefillTokens: (tokenCount) => prefillTokens.inc(tokenCount),
    countWastedPrefillTokens: (cause, tokenCount) => wastedPrefillTokens.inc({ cause }, tokenCount),
    countRefusal: (reason) => refusals.inc({ reason }),
    countDroppedFrame: (cause) => droppedFrames.inc({ cause }),
    countControlBytes: (direction, byteCount) => controlBytes.inc({ direction }, byteCount),
    countUnauthenticated: () => unauthenticated.inc(),
    setConfigurationGeneration: (serviceName, generation) =>
      generations.set({ service: labels.resolveService(serviceName) }, generation),
  };
  return { registry, labels, common };
}

function createPhaseHistograms(registry: Registry): Record<RequestPhase, Histogram> {
  const entries = Object.entries(phaseHistograms).map(([phase, definition]) => [
    phase,
    new Histogram({ ...definition, labelNames: requestLabelNames, registers: [registry] }),
  ]);
  return Object.fromEntries(entries) as Record<RequestPhase, Histogram>;
}

interface LabelledCounterOptions<LabelName extends string> {
  name: string;
  help: string;
  labelName: LabelName;
  /** Exported as zero from the start, so that rates that include the first event are correct. */
  values: readonly string[];
}

function createLabelledCounter<LabelName extends string>(
  registry: Registry,
  options: LabelledCounterOptions<LabelName>,
): Counter<LabelName> {
  const { name, help, labelName, values } = options;
  const counter = new Counter<LabelName>({
    name,
    help,
    labelNames: [labelName],
    registers: [registry],
  });
  values.forEach((value) => counter.inc({ [labelName]: value } as Record<LabelName, string>, 0));
  return counter;
}
