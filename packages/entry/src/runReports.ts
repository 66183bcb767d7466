/** What a model request reports while it runs: labels, strikes and wasted prefills. */
import type { RequestLabels, WastedPrefillCause } from '@bluebellhitch/telemetry';
import type { ModelRequest, ModelRun } from './modelTypes';
import type { FinishedPrefill } from './prefillStage';

export function labelsOf(request: ModelRequest): RequestLabels {
  return {
    service: request.document.service,
    institution: request.origin.institution,
    className: request.trafficClass.name,
  };
}

/** Counts a strike: the backend server died while the attempt was in flight there. */
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

/** Counts a finished prefill whose result no token came from. */
export function reportWastedPrefill(
  run: ModelRun,
  prefill: FinishedPrefill,
  cause: WastedPrefillCause,
): void {
  const { promptTokens, cachedTokens } = prefill.reply;
  run.context.metrics.countWastedPrefillTokens(cause, Math.max(0, promptTokens - cachedTokens));
  run.trace.step('prefill-wasted', { cause });
}
