/** Types that the stages of a model request share. */
import type { ServiceDocument, TrafficClass } from '@bluebellhitch/document';
import type { RequestOrigin } from '@bluebellhitch/protocol';
import type { NotRun, Refusal, RefusalReason } from '@bluebellhitch/shared';
import type { RetryCause } from '@bluebellhitch/telemetry';
import type { AnswerLog } from './answerLog';
import type { RequestContext } from './requestContext';
import type { RequestTrace } from './requestTrace';

/** A checked model request. */
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
  /** Monotonic time of arrival, and the time by which the answer must have ended. */
  arrivedAtMs: number;
  deadlineAtMs: number;
}

/** Progress of a request over all of its attempts. */
export interface ModelRun {
  context: RequestContext;
  request: ModelRequest;
  trace: RequestTrace;
  log: AnswerLog;
  /** Aborts when nobody waits for the answer any more, or when the deadline has passed. */
  signal: AbortSignal;
  emitted: { tokenCount: number; text: string };
  firstTokenAtMs?: number;
  lastTokenAtMs?: number;
  /** Instances that must not be asked again. */
  tried: Set<string>;
  /** Whether any engine may have begun to work on the request. */
  mayHaveRun: boolean;
  /** Whether earlier strikes make the request run apart from others of the kind. */
  struck: boolean;
}

/** Why an attempt failed; another one may follow. */
export interface AttemptFailure {
  kind: 'failed';
  reason: RefusalReason;
  notRun: NotRun;
  /** Whether an engine was given the work, rather than asked for a bid or a lease. */
  dispatched: boolean;
  detail: string;
  cause: RetryCause;
  retryAfterMs?: number;
}

export type AttemptOutcome =
  | { kind: 'completed'; outputTokens: number }
  | AttemptFailure
  /** Final: no other attempt can help. */
  | { kind: 'refused'; refusal: Refusal }
  /** `signal` aborted. */
  | { kind: 'stopped' };

export const stopReasons = {
  callerGone: 'caller-gone',
  deadline: 'deadline',
  shutdown: 'shutdown',
  lapsed: 'lapsed',
  stalled: 'stalled',
} as const;
export type StopReason = (typeof stopReasons)[keyof typeof stopReasons];
