/**
 * At-most-once claims of requests that may not be repeated. The claim is taken right before the first
 * dispatch, and settled once when the request ends.
 */
import type { Claim, ClaimError, ClaimOutcome, ClaimStore } from '@bluebellhitch/objects';
import { createRefusal, monotonicNowMs, refusalReasons, type Refusal } from '@bluebellhitch/shared';
import { claimOutcomes, type EntryMetrics } from '@bluebellhitch/telemetry';

export interface ClaimGuardOptions {
  claims: Pick<ClaimStore, 'take' | 'finish' | 'release'>;
  metrics: Pick<EntryMetrics, 'countClaim'>;
  claimKey: string;
  requestId: string;
  /** How long the key stays claimed. */
  expiresInMs?: number;
}

/** How a request with a claim ended. */
export type ClaimedEnd = 'not-run' | 'ran' | 'unknown';

export interface ClaimGuard {
  /** Takes the claim, unless it is held already; a refusal where that is not possible. */
  take(attemptId: string): Promise<Refusal | undefined>;
  /** Whether a dispatch under the claim is still allowed; reads the clock. */
  allowsDispatch(): boolean;
  /** Releases the claim or records the end. Call once, when nothing will be dispatched any more. */
  settle(end: ClaimedEnd): Promise<void>;
}

/** Callers repeat a request within hours, if at all. */
const defaultExpiresInMs = 24 * 60 * 60 * 1000;
const duplicateRetryAfterMs = 2_000;

/** Creates the guard of one request. */
export function createClaimGuard(options: ClaimGuardOptions): ClaimGuard {
  const { claims, metrics, claimKey, requestId, expiresInMs = defaultExpiresInMs } = options;
  let held: Claim | undefined;

  function onOutcome(outcome: ClaimOutcome): Refusal | undefined {
    if (outcome.kind === 'held') {
      metrics.countClaim(claimOutcomes.duplicate);
      return duplicateRefusal(outcome);
    }
    metrics.countClaim(claimOutcomes.taken);
    held = outcome.claim;
    return undefined;
  }

  function onError(error: ClaimError): Refusal {
    metrics.countClaim(claimOutcomes.unavailable);
    return createRefusal({
      reason: refusalReasons.claimUnavailable,
      detail: `the request may run only once, and that cannot be ensured now: ${error.detail}`,
      retryAfterMs: error.kind === 'unavailable' ? error.retryAfterMs : undefined,
    });
  }

  return {
    async take(attemptId) {
      if (held !== undefined) {
        return undefined;
      }
      const taken = await claims.take({ key: claimKey, requestId, attemptId, expiresInMs });
      return taken.match(onOutcome, onError);
    },
    // A process paused after it took the claim may resume after the claim expired and another entry
    // ran the request: dispatching then would run it twice.
    allowsDispatch: () => held === undefined || monotonicNowMs() < held.dispatchBeforeMs,
    async settle(end) {
      if (held === undefined) {
        return;
      }
      const change = end === 'not-run' ? claims.release(held) : claims.finish(held, end);
      held = undefined;
      const changed = await change;
      const released = end === 'not-run' && changed.isOk();
      metrics.countClaim(released ? claimOutcomes.released : claimOutcomes.kept);
    },
  };
}

const duplicateStates = {
  running: { told: 'is running', notRun: 'unknown' },
  ran: { told: 'has run', notRun: false },
  unknown: { told: 'may have run', notRun: 'unknown' },
} as const;

/** `notRun` is about the work that the key names: a caller that reads `true` would send it again. */
function duplicateRefusal(outcome: Extract<ClaimOutcome, { kind: 'held' }>): Refusal {
  const { told, notRun } = duplicateStates[outcome.state];
  return createRefusal({
    reason: refusalReasons.duplicate,
    notRun,
    detail: `request ${outcome.requestId} with this Idempotency-Key ${told}`,
    retryAfterMs: outcome.state === 'running' ? duplicateRetryAfterMs : undefined,
  });
}
