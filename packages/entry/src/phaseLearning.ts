/** Updates the prediction models with the durations that an attempt measured. */
import { prefillLocations } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { ModelRun } from './modelTypes';
import type { Placement } from './placement';
import type { FinishedPrefill } from './prefillStage';

export interface MeasuredAttempt {
  run: ModelRun;
  placement: Placement;
  prefill?: FinishedPrefill;
  /** Monotonic time at which the stream was requested, in ms. */
  dispatchedAtMs: number;
}

/** Call on the request's first token; that of a continuation is no measure of the prefill duration. */
export function learnFromFirstToken(attempt: MeasuredAttempt): void {
  const { run, placement } = attempt;
  const { phaseModels } = run.context.runtimes;
  const { service } = run.request.document;
  const nowMs = monotonicNowMs();
  const waitedMs = nowMs - run.request.arrivedAtMs;
  phaseModels.observeFirstToken(service, placement.expected.firstTokenMs, waitedMs);
  const busyMs = nowMs - Math.max(attempt.dispatchedAtMs, placement.usableAtMs);
  const workMs = Math.max(0, busyMs - placement.expected.prediction.stepMs);
  if (attempt.prefill === undefined) {
    phaseModels.observePrefill(service, {
      location: prefillLocations.decodeWorker,
      uncachedTokens: placement.expected.uncachedTokens,
      prefillMs: workMs,
      promptTokens: run.request.promptTokens,
    });
  } else {
    learnFromTransfer(attempt, attempt.prefill, workMs);
  }
}

/** Call when the complete response has come from one attempt. */
export function learnFromResponse({ run, placement }: MeasuredAttempt): void {
  const { firstTokenAtMs, lastTokenAtMs, emitted, request } = run;
  if (firstTokenAtMs === undefined || lastTokenAtMs === undefined || emitted.tokenCount < 2) {
    return;
  }
  const betweenTokensMs = (lastTokenAtMs - firstTokenAtMs) / (emitted.tokenCount - 1);
  run.context.runtimes.phaseModels.observeBetweenTokens(
    request.document.service,
    placement.expected.prediction.stepMs,
    betweenTokensMs,
  );
}

function learnFromTransfer(
  { run, placement }: MeasuredAttempt,
  prefill: FinishedPrefill,
  durationMs: number,
): void {
  run.context.runtimes.linkRates.observe({
    sourceId: prefill.lease.instance.id,
    targetId: placement.decode.instance.id,
    bytes: prefill.reply.kvBytes,
    durationMs,
  });
}
