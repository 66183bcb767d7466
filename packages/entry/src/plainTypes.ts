/** Types shared by the stages of a plain request. */
import type { Route, ServiceDocument, TrafficClass } from '@bluebellhitch/document';
import type { RequestOrigin } from '@bluebellhitch/protocol';
import type { NotRun, Refusal, RefusalReason } from '@bluebellhitch/shared';
import type { RetryCause } from '@bluebellhitch/telemetry';
import type { CallerExchange } from './callerExchange';
import type { ReplayBody } from './replayBody';
import type { RequestTrace } from './requestTrace';

/** A validated plain request. */
export interface PlainRequest {
  exchange: CallerExchange;
  document: ServiceDocument;
  route: Route;
  trafficClass: TrafficClass;
  origin: RequestOrigin;
  method: string;
  /** Normalised path and query. */
  target: string;
  repeatable: boolean;
  claimKey?: string;
  /** Undefined if the body is too large to be read before it is forwarded. */
  fingerprint?: string;
  body: PlainBody;
  arrivedAtMs: number;
  deadlineAtMs: number;
}

export type PlainBody =
  { kind: 'none' } | { kind: 'whole'; bytes: Buffer } | { kind: 'streamed'; replay: ReplayBody };

/** Progress of a plain request over its attempts. */
export interface PlainRun {
  request: PlainRequest;
  trace: RequestTrace;
  /** Aborts when the caller has disconnected, the deadline has passed or the entry stops. */
  signal: AbortSignal;
  tried: Set<string>;
  mayHaveRun: boolean;
  struck: boolean;
}

export type PlainOutcome =
  /** The complete response of the backend server was forwarded. */
  | { kind: 'answered'; status: number }
  /** The response broke after its head had been sent, and the caller's connection was aborted. */
  | { kind: 'cut'; detail: string }
  | {
      kind: 'failed';
      reason: RefusalReason;
      notRun: NotRun;
      dispatched: boolean;
      detail: string;
      cause: RetryCause;
      retryAfterMs?: number;
    }
  /** Final: no further attempt is made. */
  | { kind: 'refused'; refusal: Refusal; status?: number }
  | { kind: 'stopped' };

export type PlainFailure = Extract<PlainOutcome, { kind: 'failed' }>;
