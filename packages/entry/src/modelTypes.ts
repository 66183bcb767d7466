/** Types shared by the stages of a model request. */
import type { ServiceDocument, TrafficClass } from '@bluebellhitch/document';
import type { RequestOrigin } from '@bluebellhitch/protocol';
import type { NotRun, Refusal, RefusalReason } from '@bluebellhitch/shared';
import type { RetryCause } from '@bluebellhitch/telemetry';
import type { ResponseLog } from './responseLog';
import type { RequestContext } from './requestContext';
import type { RequestTrace } from './requestTrace';

/** A validated model request. */
export interface ModelRequest {
  requestId: string;
  document: ServiceDocument;
  trafficClass: TrafficClass;
  engineModel: string;
  origin: RequestOrigin;
  prompt: string;
  promptTokens: number;
  prefixBlocks: string[];
  maxOutputTokens: number;
  /** False for work that may run at most once; it then has a claim key. */
  repeatable: boolean;
  claimKey?: string;
  fingerprint: string;
  /** Monotonic time of arrival, and the time by which the response must have ended. */
  arrivedAtMs: number;
  deadlineAtMs: number;
}

/** Progress of a request over all of its attempts. */
export interface ModelRun {
  context: RequestContext;
  request: ModelRequest;
  trace: RequestTrace;
  log: ResponseLog;
  /** Aborts when no caller waits for the response any more, or when the deadline has passed. */
  signal: AbortSignal;
  emitted: { tokenCount: number; text: string };
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
  /** Ids of instances that must not be tried again. */
  tried: Set<string>;
  /** Whether any engine may have begun an answer, or may still be at work. A finished prefill does not count. */
  mayHaveRun: boolean;
  /** The request has strikes, so it must not run on the same server as another one with strikes. */
  struck: boolean;
}

/** Why an attempt failed; another attempt may follow. */
export interface AttemptFailure {
  kind: 'failed';
  reason: RefusalReason;
  notRun: NotRun;
  /** Whether work was dispatched to an engine, rather than only a bid or a lease requested. */
  dispatched: boolean;
  detail: string;
  cause: RetryCause;
  retryAfterMs?: number;
}

export type AttemptOutcome =
  | { kind: 'completed'; outputTokens: number }
  | AttemptFailure
  /** Final: no further attempt is made. */
  | { kind: 'refused'; refusal: Refusal }
  /** The signal of the run was aborted. */
  | { kind: 'stopped' };

export const stopReasons = {
  callerGone: 'caller-gone',
  deadline: 'deadline',
  shutdown: 'shutdown',
  lapsed: 'lapsed',
  stalled: 'stalled',
} as const;
export type StopReason = (typeof stopReasons)[keyof typeof stopReasons];
