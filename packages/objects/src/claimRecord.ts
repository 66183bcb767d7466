/** Stored form of at-most-once claims, and the rules for their expiry. */
import * as z from 'zod';
import type { ClaimError, ClaimOutcome, ClaimRequest } from './claimApi';
import type { PlatformError } from './platformApi';

export const claimRecordSchema = z.object({
  /** Owner and attempt together identify the claim when it is read back. */
  ownerId: z.string(),
  attemptId: z.string(),
  requestId: z.string(),
  state: z.enum(['running', 'ran', 'unknown']),
  /** Wall-clock time of the process that took the claim, ISO 8601. */
  takenAt: z.string(),
  expiresInMs: z.number().positive(),
});
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/**
 * Largest difference between the wall clocks of two instances that claims tolerate. A claim counts as
 * expired only once this time has passed after the end of its window.
 */
export const maxClockSkewMs = 10 * 60_000;

/** Share of the window within which the holder may dispatch; the rest is left for the run itself. */
const dispatchShare = 0.5;

export function newClaimRecord(ownerId: string, request: ClaimRequest): ClaimRecord {
  return {
    ownerId,
    attemptId: request.attemptId,
    requestId: request.requestId,
    state: 'running',
    takenAt: new Date().toISOString(),
    expiresInMs: request.expiresInMs,
  };
}

export function parseClaimRecord(value: unknown): ClaimRecord | undefined {
  const parsed = claimRecordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** A record that cannot be parsed never counts as expired: its key stays claimed. */
export function isExpired(record: ClaimRecord | undefined): boolean {
  const takenAtMs = record === undefined ? Number.NaN : Date.parse(record.takenAt);
  return record !== undefined && Date.now() > takenAtMs + record.expiresInMs + maxClockSkewMs;
}

export function isSameToken(
  record: ClaimRecord | undefined,
  token: Pick<ClaimRecord, 'ownerId' | 'attemptId'>,
): boolean {
  return record?.ownerId === token.ownerId && record.attemptId === token.attemptId;
}

/** `sentAtMs` is a monotonic time taken before the first write was sent. */
export function takenOutcome(
  request: ClaimRequest,
  sentAtMs: number,
): ClaimOutcome & { kind: 'taken' } {
  const { key, requestId, attemptId, expiresInMs } = request;
  const dispatchBeforeMs = sentAtMs + expiresInMs * dispatchShare;
  return { kind: 'taken', claim: { key, requestId, attemptId, dispatchBeforeMs } };
}

export function heldOutcome(record: ClaimRecord | undefined): ClaimOutcome {
  return {
    kind: 'held',
    state: record?.state ?? 'unknown',
    requestId: record?.requestId ?? 'unknown',
  };
}

export function unavailable(error: PlatformError, claimMayStay: boolean): ClaimError {
  const retryAfterMs = error.kind === 'rate-limited' ? error.retryAfterMs : undefined;
  return { kind: 'unavailable', detail: describe(error), claimMayStay, retryAfterMs };
}

export function unconfirmed(error: PlatformError): ClaimError {
  return { kind: 'unconfirmed', detail: describe(error) };
}

function describe(error: PlatformError): string {
  return 'detail' in error ? `${error.kind}: ${error.detail}` : error.kind;
}
