/**
 * At-most-once claims of requests that must not be repeated. The claim is taken right before the first
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
  /** Aborts when the request is stopped: its response then no longer waits for the store. */
  signal: AbortSignal;
  /** How long the key stays claimed. */
  expiresInMs?: number;
}

/** How a request with a claim ended. */
export type ClaimResolution = 'not-run' | 'ran' | 'unknown';

export interface ClaimGuard {
  /** Takes the claim, unless it is held already; returns a refusal if that is not possible, or the request is stopped. */
  take(attemptId: string): Promise<Refusal | undefined>;
  /** Whether a dispatch under the claim is still allowed; reads the clock. */
  allowsDispatch(): boolean;
  /**
   * Releases the claim or records how the request ended. Call once, after the last possible dispatch. If the request is
   * stopped, it resolves a moment later at the latest, and the change goes on.
   */
  settle(resolution: ClaimResolution): Promise<void>;
}

/** Callers repeat a request within hours, if at all. */
const defaultExpiresInMs = 24 * 60 * 60 * 1000;
const duplicateRetryAfterMs = 2_000;
/** For the store to settle a claim before the response of a request that is stopped; a part of the time in which an entry ends. */
const settleAfterStopMs = 300;

/** Creates the claim guard of one request. */
export function createClaimGuard(options: ClaimGuardOptions): ClaimGuard {
  const { claims, metrics, claimKey, requestId, signal } = options;
  const { expiresInMs = defaultExpiresInMs } = options;
  let heldClaim: Claim | undefined;

  function onOutcome(outcome: ClaimOutcome): Refusal | undefined {
    if (outcome.kind === 'held') {
      metrics.countClaim(claimOutcomes.duplicate);
      return duplicateRefusal(outcome);
    }
    metrics.countClaim(claimOutcomes.taken);
    heldClaim = outcome.claim;
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

  function countSettled(isReleased: boolean): void {
    metrics.countClaim(isReleased ? claimOutcomes.released : claimOutcomes.kept);
  }

  /** The request was stopped before the store had answered, and is never dispatched. */
  async function releaseOnceTaken(taking: ReturnType<ClaimStore['take']>): Promise<void> {
    const taken = await taking;
    if (taken.isOk() && taken.value.kind === 'taken') {
      await claims.release(taken.value.claim);
    }
  }

  return {
    async take(attemptId) {
      if (heldClaim !== undefined) {
        return undefined;
      }
      const taking = claims.take({ key: claimKey, requestId, attemptId, expiresInMs });
      const taken = await Promise.race([taking, whenAborted(signal)]);
      if (taken === undefined) {
        void releaseOnceTaken(taking);
        return onError({ kind: 'unconfirmed', detail: 'the request was stopped' });
      }
      return taken.match(onOutcome, onError);
    },
    // A process that is paused after it took the claim may resume after the claim has expired and
    // another entry has run the request: dispatching then would run it twice.
    allowsDispatch: () => heldClaim === undefined || monotonicNowMs() < heldClaim.dispatchBeforeMs,
    async settle(resolution) {
      if (heldClaim === undefined) {
        return;
      }
      const change =
        resolution === 'not-run' ? claims.release(heldClaim) : claims.finish(heldClaim, resolution);
      heldClaim = undefined;
      const settled = change.match(
        () => countSettled(resolution === 'not-run'),
        () => countSettled(false),
      );
      await Promise.race([settled, whenAborted(signal, settleAfterStopMs)]);
    },
  };
}

/** Resolves once the signal has been aborted for `afterMs`. */
function whenAborted(signal: AbortSignal, afterMs = 0): Promise<undefined> {
  return new Promise((resolve) => {
    const onAbort = () => setTimeout(() => resolve(undefined), afterMs);
    if (signal.aborted) {
      onAbort();
    } else {
      signal.addEventListener('abort', onAbort, { once: true });
    }
  });
}

const duplicateStates = {
  running: { stateText: 'is running', notRun: 'unknown' },
  ran: { stateText: 'has run', notRun: false },
  unknown: { stateText: 'may have run', notRun: 'unknown' },
} as const;

/** `notRun` describes the key's original request: on `true` the caller would send it again. */
function duplicateRefusal(outcome: Extract<ClaimOutcome, { kind: 'held' }>): Refusal {
  const { stateText, notRun } = duplicateStates[outcome.state];
  return createRefusal({
    reason: refusalReasons.duplicate,
    notRun,
    detail: `request ${outcome.requestId} with this Idempotency-Key ${stateText}`,
    retryAfterMs: outcome.state === 'running' ? duplicateRetryAfterMs : undefined,
  });
}
