/** Writes the decision record of one request while it runs. */
import type { DecisionRecord, DecisionRing, RequestLabels } from '@bluebellhitch/telemetry';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface RequestTraceOptions {
  ring: Pick<DecisionRing, 'record'>;
  requestId: string;
  labels: RequestLabels;
  fingerprint?: string;
  /** Monotonic time of arrival. */
  arrivedAtMs: number;
}

export interface RequestTrace {
  step(kind: string, detail?: Record<string, unknown>): void;
  finish(outcome: string): void;
}

/** Maximum steps of one record; a request with more is in a loop, and its first steps show why. */
const maxSteps = 64;

/** Adds a record to the ring and returns its writer. */
export function createRequestTrace(options: RequestTraceOptions): RequestTrace {
  const { ring, requestId, labels, fingerprint, arrivedAtMs } = options;
  const record: DecisionRecord = {
    requestId,
    ...labels,
    startedAt: new Date().toISOString(),
    fingerprint,
    steps: [],
    outcome: '',
  };
  ring.record(record);
  return {
    step(kind, detail = {}) {
      if (record.steps.length < maxSteps) {
        const atMs = Math.round((monotonicNowMs() - arrivedAtMs) * 10) / 10;
        record.steps.push({ atMs, kind, detail });
      }
    },
    finish(outcome) {
      record.outcome = outcome;
    },
  };
}
