/**
 * Reasons for which a response did not start or was not completed. `notRun` is true only if the engine
 * certainly received no decode call, or reported that it did not start.
 */
import type { TruncationCause } from '@bluebellhitch/decisions';
import type { EngineError } from '@bluebellhitch/engine';
import {
  agentRefusalReasons,
  type AgentRefusalReason,
  type StreamFrame,
} from '@bluebellhitch/protocol';
import type { NotRun } from '@bluebellhitch/shared';
import type { StalledSide } from './stallWatch';

export interface StreamFailure {
  reason: AgentRefusalReason;
  notRun: NotRun;
  detail: string;
  backendDied?: boolean;
  retryAfterMs?: number;
}

export const repeatedAttempt: StreamFailure = {
  reason: agentRefusalReasons.unknownLease,
  notRun: false,
  detail: 'this attempt has been started before',
};

export const cancelledBeforeDecode: StreamFailure = {
  reason: agentRefusalReasons.cancelled,
  notRun: true,
  detail: 'cancelled before the answer began',
};

export function memoryNotFree(retryAfterMs: number): StreamFailure {
  return {
    reason: agentRefusalReasons.noCapacity,
    notRun: true,
    detail: 'the promised memory did not become free in time',
    retryAfterMs,
  };
}

export function transferFailed(cause: string): StreamFailure {
  return {
    reason: agentRefusalReasons.backendFailed,
    notRun: true,
    detail: `the transfer failed (${cause}) and no time is left for a local prefill`,
    retryAfterMs: 0,
  };
}

/** The engine did not start the response. */
export function startFailed(error: EngineError, wasCancelled: boolean): StreamFailure {
  if (wasCancelled) {
    return { reason: agentRefusalReasons.cancelled, notRun: 'unknown', detail: 'cancelled' };
  }
  const detail = `the engine did not begin the answer: ${error.kind}`;
  switch (error.kind) {
    case 'out-of-memory':
      return { reason: agentRefusalReasons.noCapacity, notRun: true, detail };
    case 'not-started':
      return { reason: agentRefusalReasons.backendFailed, notRun: true, detail };
    default:
      return {
        reason: agentRefusalReasons.backendFailed,
        notRun: 'unknown',
        detail,
        backendDied: error.kind === 'died',
      };
  }
}

export interface Interruption {
  hasOutput: boolean;
  wasCancelled: boolean;
  stalledSide: StalledSide | undefined;
  /** How the engine's chunks violated their order; undefined if they did not. */
  truncationCause: TruncationCause | undefined;
}

/** The response started and ended without its end marker. */
export function interrupted(interruption: Interruption): StreamFailure {
  const { hasOutput, wasCancelled, stalledSide, truncationCause } = interruption;
  const notRun = hasOutput ? false : 'unknown';
  const reason = agentRefusalReasons.backendFailed;
  if (stalledSide === 'engine') {
    return { reason, notRun, detail: 'the engine stalled' };
  }
  if (wasCancelled) {
    return { reason: agentRefusalReasons.cancelled, notRun, detail: 'cancelled' };
  }
  return truncationCause === undefined
    ? { reason, notRun, detail: 'the engine died in the middle of the answer', backendDied: true }
    : { reason, notRun, detail: `the engine broke the order of the answer: ${truncationCause}` };
}

export function failedFrame(attemptId: string, failure: StreamFailure): StreamFrame {
  return { kind: 'failed', attemptId, backendDied: false, ...failure };
}
