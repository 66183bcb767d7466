/** Interface of at-most-once claims, independent of how they are stored. */
import type { ResultAsync } from 'neverthrow';

/** State of the claimed run. `unknown`: how the run ended was not observed. */
export type ClaimState = 'running' | 'ran' | 'unknown';

/** A claim that this process holds. */
export interface Claim {
  key: string;
  requestId: string;
  attemptId: string;
  /**
   * Monotonic time (`monotonicNowMs`) after which the holder must not dispatch the request. Otherwise
   * a process that was paused for a long time could run a request whose claim has since expired.
   */
  dispatchBeforeMs: number;
}

export interface ClaimRequest {
  /** Institution, service and the digest of the idempotency key. */
  key: string;
  requestId: string;
  /** Unique for each call of `take`; a read-back recognises its own claim by it. */
  attemptId: string;
  /** Minimum time for which the key stays claimed unless it is released. */
  expiresInMs: number;
}

export type ClaimOutcome =
  { kind: 'taken'; claim: Claim } | { kind: 'held'; state: ClaimState; requestId: string };

export type ClaimError =
  /**
   * Not taken: the request must be refused as not run. With `claimMayStay` the platform may have
   * stored the claim nevertheless; later requests with the key are then refused until the claim is
   * released in the background or expires.
   */
  | { kind: 'unavailable'; detail: string; claimMayStay: boolean; retryAfterMs?: number }
  /** A change of a taken claim was not confirmed: it may or may not have taken effect. */
  | { kind: 'unconfirmed'; detail: string };

export interface ClaimStore {
  /** Takes the claim of a request that is about to be dispatched. */
  take(request: ClaimRequest): ResultAsync<ClaimOutcome, ClaimError>;
  /** Records how the run ended, so that duplicates can be told. */
  finish(claim: Claim, state: 'ran' | 'unknown'): ResultAsync<void, ClaimError>;
  /** Frees the key. Only for a request that certainly did not run. */
  release(claim: Claim): ResultAsync<void, ClaimError>;
  /** Waits until all background releases have ended. */
  settle(): Promise<void>;
}
