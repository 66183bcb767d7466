/** Takes a request's further attempts from the budget, and records them in its trail, its log line and the metrics. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import { noteStep, type RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';

/** Why a request needs a further attempt. */
export const attemptCauses = {
  /** An attempt at a plain server failed or was rejected. */
  failed: 'failed',
  /** A run was rejected after its memory had been reserved. */
  rejected: 'rejected',
  /** A stream broke and continues on another server. */
  resume: 'resume',
  /** A prefill call after the request's first one. */
  prefill: 'prefill',
  /** A first prefill call, which counts if it is rejected or lost. */
  firstPrefill: 'first-prefill',
} as const;
export type AttemptCause = (typeof attemptCauses)[keyof typeof attemptCauses];

type Dependencies = Pick<RouterDependencies, 'budget' | 'metrics'>;

/** Takes a further attempt from the budget of the request's service; false if none is left. */
export function takeFurtherAttempt(
  state: RequestState,
  cause: AttemptCause,
  deps: Dependencies,
): boolean {
  const isAllowed = deps.budget.tryTake(state.service.name, monotonicNowMs());
  if (isAllowed) {
    recordTaken(state, cause, deps);
  } else {
    recordRefused(state, cause, deps);
  }
  return isAllowed;
}

/** A further attempt that counts once it is used. */
export interface AttemptInReserve {
  /** The attempt is about to be sent; false if the requests that earned it are too long ago by now. */
  use(): boolean;
  /** It is not sent any more; no effect once it is used. */
  release(): void;
}

/** Sets a further attempt aside for a run that may not come to be sent; undefined if none is left. */
export function reserveFurtherAttempt(
  state: RequestState,
  cause: AttemptCause,
  deps: Dependencies,
): AttemptInReserve | undefined {
  const reservation = deps.budget.reserve(state.service.name, monotonicNowMs());
  if (reservation === undefined) {
    recordRefused(state, cause, deps);
    return undefined;
  }
  let isOpen = true;
  function release(): void {
    if (isOpen) {
      isOpen = false;
      reservation?.release();
    }
  }
  return {
    use() {
      release();
      return takeFurtherAttempt(state, cause, deps);
    },
    release,
  };
}

/**
 * Begins a first prefill call, which counts as a further attempt only if it fails. Returns the function to call at its
 * end, or undefined if the call may not be made. Calls in progress are counted: an engine may reject all that wait at it
 * at the same moment.
 */
export function beginFirstPrefill(
  state: RequestState,
  deps: Dependencies,
): ((hasFailed: boolean) => void) | undefined {
  const reservation = deps.budget.reserve(state.service.name, monotonicNowMs());
  if (reservation === undefined) {
    recordRefused(state, attemptCauses.firstPrefill, deps);
    return undefined;
  }
  return (hasFailed) => {
    if (hasFailed) {
      reservation.use(monotonicNowMs());
      recordTaken(state, attemptCauses.firstPrefill, deps);
    } else {
      reservation.release();
    }
  };
}

function recordTaken(state: RequestState, cause: AttemptCause, { metrics }: Dependencies): void {
  state.furtherAttemptCount += 1;
  metrics.countFurtherAttempt(state.service.name, cause);
}

function recordRefused(state: RequestState, cause: AttemptCause, { metrics }: Dependencies): void {
  noteStep(state, `no further attempt left: ${cause}`);
  metrics.countRefusedAttempt(state.service.name, cause);
}
