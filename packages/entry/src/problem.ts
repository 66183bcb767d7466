/** Refusals as problem documents: `application/problem+json` (RFC 9457). */
import type { ServerResponse } from 'node:http';
import { refusalReasons, type Refusal, type RefusalReason } from '@bluebellhitch/shared';

export const problemContentType = 'application/problem+json';

/** Body of a problem document. */
export interface ProblemDocument {
  type: string;
  title: string;
  status: number;
  detail: string;
  reason: RefusalReason;
  notRun: Refusal['notRun'];
  requestId: string;
}

const statuses: Record<RefusalReason, { status: number; title: string }> = {
  [refusalReasons.badRequest]: { status: 400, title: 'Bad request' },
  [refusalReasons.missingIdempotencyKey]: { status: 400, title: 'Idempotency-Key is missing' },
  [refusalReasons.unauthenticated]: { status: 401, title: 'Not authenticated' },
  [refusalReasons.unknownService]: { status: 404, title: 'Unknown service' },
  [refusalReasons.bodyTooLarge]: { status: 413, title: 'Body too large' },
  [refusalReasons.duplicate]: { status: 409, title: 'Duplicate request' },
  [refusalReasons.quarantined]: { status: 422, title: 'Request is quarantined' },
  [refusalReasons.rateLimited]: { status: 429, title: 'Rate limit reached' },
  [refusalReasons.cancelled]: { status: 499, title: 'Cancelled by the caller' },
  [refusalReasons.internal]: { status: 500, title: 'Internal error' },
  [refusalReasons.backendFailed]: { status: 502, title: 'Backend server failed' },
  [refusalReasons.incompleteAnswer]: { status: 502, title: 'Answer is incomplete' },
  [refusalReasons.queueFull]: { status: 503, title: 'Queue is full' },
  [refusalReasons.noCapacity]: { status: 503, title: 'No capacity' },
  [refusalReasons.deadlineHopeless]: { status: 503, title: 'Deadline cannot be met' },
  [refusalReasons.noInstances]: { status: 503, title: 'No instances' },
  [refusalReasons.leaving]: { status: 503, title: 'Instance is leaving' },
  [refusalReasons.claimUnavailable]: { status: 503, title: 'Claim cannot be taken' },
  [refusalReasons.retriesExhausted]: { status: 503, title: 'Retries exhausted' },
  [refusalReasons.deadlineExceeded]: { status: 504, title: 'Deadline exceeded' },
};

const requestTimeoutStatus = 408;
const timedOutStatus = 504;
const defaultRetryAfterMs = 1_000;

/** `status` overrides the default status of the refusal's reason, unless it promises what the refusal does not. */
export interface ProblemOptions {
  requestId: string;
  status?: number;
}

/** Callers and proxies send a request again after these, which promise that it has not run and never will. */
const statusesThatPromise: readonly number[] = [requestTimeoutStatus, 421, 429, 503];

/** A refusal of a request that may have run has no status that promises that it has not. */
function statusOf({ reason, notRun }: Refusal, status = statuses[reason].status): number {
  return notRun !== true && statusesThatPromise.includes(status) ? timedOutStatus : status;
}

export function problemDocument(refusal: Refusal, options: ProblemOptions): ProblemDocument {
  const { title } = statuses[refusal.reason];
  return {
    type: `urn:bluebellhitch:refusal:${refusal.reason}`,
    title,
    status: statusOf(refusal, options.status),
    detail: refusal.detail,
    reason: refusal.reason,
    notRun: refusal.notRun,
    requestId: options.requestId,
  };
}

/** Whole seconds, at least one, because callers that retry at once would get the same refusal. */
export function retryAfterSeconds(refusal: Refusal, status: number): number | undefined {
  const isTemporary =
    status === requestTimeoutStatus || status === 429 || status === 503 || status === 504;
  const retryAfterMs = refusal.retryAfterMs ?? (isTemporary ? defaultRetryAfterMs : undefined);
  return retryAfterMs === undefined ? undefined : Math.max(1, Math.ceil(retryAfterMs / 1000));
}

/**
 * Sends the refusal without the end of the response, unless that has begun or its connection is closed. Returns whether it
 * was sent.
 */
export function startProblem(
  outgoing: ServerResponse,
  refusal: Refusal,
  options: ProblemOptions,
): boolean {
  if (outgoing.headersSent || outgoing.destroyed) {
    return false;
  }
  const problem = problemDocument(refusal, options);
  const body = JSON.stringify(problem);
  const retryAfter = retryAfterSeconds(refusal, problem.status);
  outgoing.writeHead(problem.status, {
    'content-type': problemContentType,
    'content-length': Buffer.byteLength(body),
    'x-request-id': options.requestId,
    ...(retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) }),
  });
  outgoing.write(body);
  return true;
}
