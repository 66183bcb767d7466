/** The one interface to at-most-once claims; how they are stored and batched is behind it. */
import type { ResultAsync } from 'neverthrow';

/** `unknown`: the end of the run was not observed. */
export type ClaimState = 'running' | 'ran' | 'unknown';

/** A claim that this process holds. */
export interface Claim {
  key: string;
  requestId: string;
  attemptId: string;
  /**
   * Monotonic time (`monotonicNowMs`) after which the holder must not dispatch any more. A process
   * that was paused for longer might otherwise run a request whose claim has expired meanwhile.
   */
  dispatchBeforeMs: number;
}

export interface TakeClaim {
  /** Institution, service and the digest of the idempotency key. */
  key: string;
  requestId: string;
  /** Unique for each call of `take`: it is the token that a read-back looks for. */
  attemptId: string;
  /** How long the key stays claimed at least, unless it is released. */
  expiresInMs: number;
}

export type ClaimOutcome =
  { kind: 'taken'; claim: Claim } | { kind: 'held'; state: ClaimState; requestId: string };

export type ClaimError =
  /**
   * Not taken: the request must be refused as not run. With `claimMayStay` the platform may hold the
   * claim all the same, so that later tries with the key are refused until it is released in the
   * background or expires.
   */
  | { kind: 'unavailable'; detail: string; claimMayStay: boolean; retryAfterMs?: number }
  /** A change of a taken claim was not confirmed: the claim stays as it was, or is changed. */
  | { kind: 'unconfirmed'; detail: string };

export interface ClaimStore {
  /** Takes the claim of a request that is about to be dispatched. */
  take(request: TakeClaim): ResultAsync<ClaimOutcome, ClaimError>;
  /** Records how the run ended, for what duplicates are told. */
  finish(claim: Claim, state: 'ran' | 'unknown'): ResultAsync<void, ClaimError>;
  /** Gives the key free; only for a request that certainly did not run. */
  release(claim: Claim): ResultAsync<void, ClaimError>;
  /** Waits for releases that still run in the background. */
  settle(): Promise<void>;
}
