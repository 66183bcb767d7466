/** Turns the agent's reports into metrics and decision records. */
import type { LeaseTable, Lease } from '@bluebellhitch/decisions';
import {
  leaseStates,
  type AgentMetrics,
  type DecisionRecord,
  type DecisionRing,
  type LeaseState,
  type Logger,
  type RequestLabels,
} from '@bluebellhitch/telemetry';
import type { AcceptedDocument } from '@bluebellhitch/document';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentObserver } from './agentObserver';

export interface AgentTelemetryOptions {
  metrics: AgentMetrics;
  ring: DecisionRing;
  logger: Logger;
}

interface OpenRecord {
  record: DecisionRecord;
  labels: RequestLabels;
  startedAtMs: number;
}

/** An observer whose open records end with their leases, so that their number is bounded. */
export function createAgentTelemetry(options: AgentTelemetryOptions): AgentObserver {
  const { metrics, ring, logger } = options;
  const open = new Map<string, OpenRecord>();

  function note(attemptId: string, kind: string, detail: Record<string, unknown>): void {
    const entry = open.get(attemptId);
    entry?.record.steps.push({ atMs: monotonicNowMs() - entry.startedAtMs, kind, detail });
  }

  function observe(
    attemptId: string,
    phase: 'prefill' | 'transfer' | 'betweenTokens',
    durationMs: number,
  ): void {
    const labels = open.get(attemptId)?.labels;
    if (labels !== undefined) {
      metrics.observePhase(phase, labels, durationMs);
    }
  }

  return {
    onReserved: (request, waitedMs, usableInMs) => {
      const { attemptId, requestId, service, origin } = request;
      const { institution, className } = origin;
      const record: DecisionRecord = {
        requestId,
        service,
        institution,
        className,
        startedAt: new Date().toISOString(),
        steps: [],
        outcome: '',
      };
      const labels = { service, institution, className };
      open.set(attemptId, { record, labels, startedAtMs: monotonicNowMs() - waitedMs });
      ring.record(record);
      metrics.observePhase('queue', labels, waitedMs);
      note(attemptId, 'reserved', { attemptId, purpose: request.purpose, waitedMs, usableInMs });
    },
    onRefused: (reason) => metrics.countRefusal(reason),
    onPrefilled: (attemptId, computedTokens, durationMs) => {
      metrics.countPrefillTokens(computedTokens);
      observe(attemptId, 'prefill', durationMs);
      note(attemptId, 'prefilled', { computedTokens, durationMs });
    },
    onExportExpired: (attemptId) => note(attemptId, 'export-expired', {}),
    onTransfer: (attemptId, durationMs) => {
      observe(attemptId, 'transfer', durationMs);
      note(attemptId, 'imported', { durationMs });
    },
    onTransferFailed: (attemptId, cause) => {
      logger.warn('transfer failed', { attemptId, cause });
      note(attemptId, 'transfer-failed', { cause });
    },
    onTokenGap: (attemptId, durationMs) => observe(attemptId, 'betweenTokens', durationMs),
    onDroppedChunk: (cause) => metrics.countDroppedFrame(droppedFrameCauseOf[cause]),
    onLapsed: (attemptId) => {
      logger.warn('lease lapsed', { attemptId });
      note(attemptId, 'lapsed', {});
    },
    onCancelFailed: (attemptId, detail) => logger.warn('cancel failed', { attemptId, detail }),
    onEnded: (attemptId) => {
      note(attemptId, 'ended', {});
      const entry = open.get(attemptId);
      if (entry !== undefined) {
        entry.record.outcome = 'ended';
      }
      open.delete(attemptId);
    },
  };
}

const droppedFrameCauseOf = {
  'foreign-attempt': 'other-attempt',
  duplicate: 'wrong-offset',
  'after-end': 'after-end',
} as const;

/** Sets the gauge of leases by state; call before metrics are read. */
export function reportLeases(
  metrics: AgentMetrics,
  table: Pick<LeaseTable, 'leases'>,
  queuedCount: number,
): void {
  const states = table.leases().map(stateOf);
  Object.values(leaseStates).forEach((state) => {
    const count = states.filter((other) => other === state).length;
    metrics.setLeases(state, state === leaseStates.queued ? queuedCount : count);
  });
}

function stateOf(lease: Readonly<Lease>): LeaseState {
  switch (lease.state) {
    case 'promised':
    case 'reserved':
      return leaseStates.reserved;
    case 'prefill':
      return leaseStates.prefilling;
    case 'exported':
      return leaseStates.exported;
    case 'importing':
      return leaseStates.importing;
    default:
      return lease.purpose === 'plain' ? leaseStates.plain : leaseStates.decoding;
  }
}

/** Makes the document's labels known and shows its generation. */
export function reportDocument(
  metrics: AgentMetrics,
  { generation, document }: AcceptedDocument,
): void {
  const { service, institution, classes } = document;
  metrics.addServiceLabels({ service, institution, classNames: classes.map(({ name }) => name) });
  metrics.setConfigurationGeneration(service, generation);
}
