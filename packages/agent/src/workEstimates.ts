/** Moving averages of the backend server's work, used for predictions. Durations are in milliseconds. */
import {
  createLengthPredictor,
  createRecentQuantile,
  createRunningEstimate,
} from '@bluebellhitch/decisions';

/** Properties of a request on which the expected length of its response depends. */
export interface WorkShape {
  className: string;
  promptTokens: number;
  maxOutputTokens: number;
}

export interface WorkEstimates {
  observeStep(durationMs: number): void;
  observeOutput(shape: WorkShape, tokenCount: number): void;
  observePrefill(computedTokens: number, durationMs: number): void;
  observeCall(durationMs: number): void;
  /** Sets the step time that the engine reports, used until streams have been measured. */
  reportStep(durationMs: number): void;
  stepMs(): number;
  /** 97th percentile of recent steps. */
  slowStepMs(): number;
  prefillMsPerToken(): number;
  /** Expected time for which a stream that has emitted this many tokens still holds its memory. */
  decodeHoldMs(shape: WorkShape, emittedTokens?: number): number;
  /** Expected time for which a prefill and its export hold their memory. */
  prefillHoldMs(promptTokens: number): number;
  callMs(): number;
}

export interface WorkEstimatesOptions {
  service: string;
}

const initialStepMs = 20;
const initialPrefillMsPerToken = 0.2;
const initialCallMs = 50;
/** Shorter than the retention time of exports, since most are fetched well before the engine drops them. */
const exportHoldMs = 300;
/** Above the 95th percentile that has to stay within a target, to leave a margin. */
const slowStepQuantile = 0.97;
/** Above the median: a release predicted too early makes promised memory late, so predictions lean to late. */
const lengthQuantile = 0.75;

export function createWorkEstimates({ service }: WorkEstimatesOptions): WorkEstimates {
  const lengths = createLengthPredictor({ maxBuckets: 256 });
  const steps = createRunningEstimate({ smoothing: 0.02 });
  const slowSteps = createRecentQuantile({ quantile: slowStepQuantile });
  const prefills = createRunningEstimate({ initialMean: initialPrefillMsPerToken });
  const calls = createRunningEstimate({ initialMean: initialCallMs });
  let reportedStepMs = initialStepMs;

  const stepMs = () => (steps.sampleCount() > 0 ? steps.mean() : reportedStepMs);

  return {
    stepMs,
    prefillMsPerToken: prefills.mean,
    callMs: calls.mean,
    slowStepMs: slowSteps.value,
    observeStep: (durationMs) => {
      steps.observe(durationMs);
      slowSteps.observe(durationMs);
    },
    observeCall: calls.observe,
    observeOutput: ({ className, promptTokens }, tokenCount) =>
      lengths.observe({ service, className, promptTokens }, tokenCount),
    observePrefill: (computedTokens, durationMs) => {
      if (computedTokens > 0) {
        prefills.observe(durationMs / computedTokens);
      }
    },
    reportStep: (durationMs) => {
      reportedStepMs = durationMs > 0 ? durationMs : reportedStepMs;
    },
    decodeHoldMs: (shape, emittedTokens = 0) =>
      lengths.predictRemaining({ ...shape, service, emittedTokens, quantile: lengthQuantile }) *
      stepMs(),
    prefillHoldMs: (promptTokens) => promptTokens * prefills.mean() + exportHoldMs,
  };
}
