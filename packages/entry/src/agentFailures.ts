/** Maps refusals by agents and failed calls to agents to attempt failures. */
import {
  agentRefusalReasons,
  type AgentRefusal,
  type AgentRefusalReason,
} from '@bluebellhitch/protocol';
import {
  assertNever,
  refusalReasons,
  type NotRun,
  type RefusalReason,
} from '@bluebellhitch/shared';
import { retryCauses } from '@bluebellhitch/telemetry';
import type { AgentCallError } from './agentApi';
import type { AttemptFailure } from './modelTypes';

const reasons: Record<AgentRefusalReason, RefusalReason> = {
  [agentRefusalReasons.leaving]: refusalReasons.leaving,
  [agentRefusalReasons.queueFull]: refusalReasons.queueFull,
  [agentRefusalReasons.noCapacity]: refusalReasons.noCapacity,
  [agentRefusalReasons.deadlineHopeless]: refusalReasons.deadlineHopeless,
  [agentRefusalReasons.wrongService]: refusalReasons.noInstances,
  [agentRefusalReasons.wrongRole]: refusalReasons.noInstances,
  [agentRefusalReasons.cancelled]: refusalReasons.backendFailed,
  [agentRefusalReasons.unknownLease]: refusalReasons.backendFailed,
  [agentRefusalReasons.backendFailed]: refusalReasons.backendFailed,
  [agentRefusalReasons.notReady]: refusalReasons.noCapacity,
};

/** What a failed call had asked for. */
export interface FailedCall {
  /** Whether the call gave the backend server work to do. */
  dispatched: boolean;
}

export function refusalReasonOf(reason: AgentRefusalReason): RefusalReason {
  return reasons[reason];
}

export function failureOfRefusal(
  refusal: Pick<AgentRefusal, 'reason' | 'notRun' | 'detail' | 'retryAfterMs'>,
  { dispatched }: FailedCall,
): AttemptFailure {
  return {
    kind: 'failed',
    reason: refusalReasonOf(refusal.reason),
    notRun: refusal.notRun,
    dispatched,
    detail: refusal.detail,
    cause: refusal.notRun === true ? retryCauses.notRun : retryCauses.backendFailed,
    retryAfterMs: refusal.retryAfterMs,
  };
}

/** Maps a failed call. A call that only requests a lease runs nothing, however it fails. */
export function failureOfCall(error: AgentCallError, { dispatched }: FailedCall): AttemptFailure {
  const notRun = dispatched ? notRunAfter(error) : true;
  return {
    kind: 'failed',
    reason: refusalReasons.backendFailed,
    notRun,
    dispatched: dispatched && error.kind !== 'not-sent',
    detail: `the agent did not answer: ${describeCallError(error)}`,
    cause: notRun === true ? retryCauses.notRun : retryCauses.backendFailed,
  };
}

export function describeCallError(error: AgentCallError): string {
  return error.kind === 'cancelled' ? error.kind : `${error.kind} (${error.detail})`;
}

function notRunAfter(error: AgentCallError): NotRun {
  switch (error.kind) {
    case 'not-sent':
      return true;
    case 'timeout':
    case 'lost':
    case 'malformed':
    case 'cancelled':
      return 'unknown';
    default:
      return assertNever(error);
  }
}
