/** Turns the agent's events into metrics and decision records. */
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

/** Creates an observer that drops each open record when its lease ends, so that their number is bounded. */
export function createAgentTelemetry(options: AgentTelemetryOptions): AgentObserver {
  const { metrics, ring, logger } = options;
  const openRecords = new Map<string, OpenRecord>();

  function addStep(attemptId: string, kind: string, detail: Record<string, unknown>): void {
    const openRecord = openRecords.get(attemptId);
    openRecord?.record.steps.push({
      atMs: monotonicNowMs() - openRecord.startedAtMs,
      kind,
      detail,
    });
  }

  function observeDuration(
    attemptId: string,
    phase: 'prefill' | 'transfer' | 'betweenTokens',
    durationMs: number,
  ): void {
    const labels = openRecords.get(attemptId)?.labels;
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
      openRecords.set(attemptId, { record, labels, startedAtMs: monotonicNowMs() - waitedMs });
      ring.record(record);
      metrics.observePhase('queue', labels, waitedMs);
      addStep(attemptId, 'reserved', { attemptId, purpose: request.purpose, waitedMs, usableInMs });
    },
    onRefused: (reason) => metrics.countRefusal(reason),
    onPrefilled: (attemptId, computedTokens, durationMs) => {
      metrics.countPrefillTokens(computedTokens);
      observeDuration(attemptId, 'prefill', durationMs);
      addStep(attemptId, 'prefilled', { computedTokens, durationMs });
    },
    onExportExpired: (attemptId) => addStep(attemptId, 'export-expired', {}),
    onTransfer: (attemptId, durationMs) => {
      observeDuration(attemptId, 'transfer', durationMs);
      addStep(attemptId, 'imported', { durationMs });
    },
    onTransferFailed: (attemptId, cause) => {
      logger.warn('transfer failed', { attemptId, cause });
      addStep(attemptId, 'transfer-failed', { cause });
    },
    onTokenGap: (attemptId, durationMs) => observeDuration(attemptId, 'betweenTokens', durationMs),
    onDroppedChunk: (cause) => metrics.countDroppedFrame(droppedFrameCauses[cause]),
    onLapsed: (attemptId) => {
      logger.warn('lease lapsed', { attemptId });
      addStep(attemptId, 'lapsed', {});
    },
    onCancelFailed: (attemptId, detail) => logger.warn('cancel failed', { attemptId, detail }),
    onEnded: (attemptId) => {
      addStep(attemptId, 'ended', {});
      const openRecord = openRecords.get(attemptId);
      if (openRecord !== undefined) {
        openRecord.record.outcome = 'ended';
      }
      openRecords.delete(attemptId);
    },
  };
}

const droppedFrameCauses = {
  'foreign-attempt': 'other-attempt',
  duplicate: 'wrong-offset',
  'after-end': 'after-end',
} as const;

/** Sets the gauge of leases by state; call before metrics are rendered. */
export function reportLeases(
  metrics: AgentMetrics,
  table: Pick<LeaseTable, 'leases'>,
  queuedCount: number,
): void {
  const states = table.leases().map(toLeaseState);
  Object.values(leaseStates).forEach((state) => {
    const count = states.filter((other) => other === state).length;
    metrics.setLeases(state, state === leaseStates.queued ? queuedCount : count);
  });
}

function toLeaseState(lease: Readonly<Lease>): LeaseState {
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

/** Adds the document's labels to the metrics and sets the gauge of its generation. */
export function reportDocument(
  metrics: AgentMetrics,
  { generation, document }: AcceptedDocument,
): void {
  const { service, institution, classes } = document;
  metrics.addServiceLabels({ service, institution, classNames: classes.map(({ name }) => name) });
  metrics.setConfigurationGeneration(service, generation);
}
