/** Records the results of calls to a server for the circuit breaker, the load hints and the instance view. */
import {
  agentRefusalReasons,
  type AgentRefusal,
  type AgentRefusalReason,
  type LoadHint,
} from '@bluebellhitch/protocol';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentCallError } from './agentApi';
import type { RequestContext } from './requestContext';

/** Refusals caused by the state of the backend server rather than by the request. */
const unreadyReasons: readonly AgentRefusalReason[] = [
  agentRefusalReasons.notReady,
  agentRefusalReasons.backendFailed,
];

type HealthContext = Pick<RequestContext, 'instances' | 'runtimes'>;

/** Counts a failed call; a refused connection also marks the instance as down in the view for a while. */
export function noteCallError(
  context: HealthContext,
  service: string,
  instanceId: string,
  error: AgentCallError,
): void {
  switch (error.kind) {
    case 'cancelled':
      return;
    case 'not-sent':
      context.instances.markDown(instanceId);
      noteOutcome(context, service, instanceId, 'failure');
      return;
    case 'timeout':
    case 'lost':
    case 'malformed':
      noteOutcome(context, service, instanceId, 'failure');
      return;
    default:
      assertNever(error);
  }
}

/** A refusal is a reply, not a failure; after `leaving`, no new work is sent there. */
export function noteRefusal(
  context: HealthContext,
  service: string,
  instanceId: string,
  refusal: AgentRefusal,
): void {
  if (refusal.reason === agentRefusalReasons.leaving) {
    // The instance list lags by seconds; the first refusal is enough to stop sending requests there.
    context.instances.markLeaving(instanceId);
  }
  if (unreadyReasons.includes(refusal.reason)) {
    context.runtimes.of(service).unready.mark(instanceId, monotonicNowMs());
  }
  if (refusal.load !== undefined) {
    noteLoad(context, instanceId, refusal.load);
  }
}

export function noteLoad(context: HealthContext, instanceId: string, load: LoadHint): void {
  context.runtimes.hints.record(instanceId, load, monotonicNowMs());
}

export function noteOutcome(
  context: Pick<HealthContext, 'runtimes'>,
  service: string,
  instanceId: string,
  outcome: 'success' | 'failure',
): void {
  const { outliers, unready } = context.runtimes.of(service);
  outliers.record(instanceId, outcome, monotonicNowMs());
  if (outcome === 'success') {
    unready.clear(instanceId);
  }
}
