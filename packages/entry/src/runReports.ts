/** Metric labels and strike reports of a model request. */
import type { RequestLabels } from '@bluebellhitch/telemetry';
import type { ModelRequest, ModelRun } from './modelTypes';

export function labelsOf(request: ModelRequest): RequestLabels {
  return {
    service: request.document.service,
    institution: request.origin.institution,
    className: request.trafficClass.name,
  };
}

/** Reports a strike: the backend server died while the attempt was in flight there. */
export function reportStrike(run: ModelRun, attemptId: string, instanceId: string): void {
  const { context, request } = run;
  run.trace.step('strike', { attemptId, instanceId });
  context.strikes.report({
    service: request.document.service,
    fingerprint: request.fingerprint,
    attemptId,
    instanceId,
  });
}
