/**
 * Estimates, from a service's finished requests, the prefill time and the KV cache bytes per token, and
 * the relative errors of earlier latency predictions.
 */
import { createBoundedMap } from './boundedMap';
import { createRunningEstimate } from './runningEstimate';

export const prefillLocations = {
  prefillWorker: 'prefill-worker',
  decodeWorker: 'decode-worker',
} as const;
export type PrefillLocation = (typeof prefillLocations)[keyof typeof prefillLocations];

/** Estimates for one service. */
export interface PhaseModel {
  /** Milliseconds per uncached prompt token. */
  prefillMsPerToken: Record<PrefillLocation, number>;
  kvBytesPerToken: number;
  /** Prefill size to which the service document's weight on wasted prefill refers. */
  averagePrefillTokens: number;
  /** Relative error of the predicted time to the first token: deviation of actual / predicted from 1. */
  firstTokenDeviation: number;
  /** The same for the time between tokens. */
  betweenTokensDeviation: number;
}

export interface PhaseObservation {
  location: PrefillLocation;
  uncachedTokens: number;
  prefillMs: number;
  /** Absent where no KV cache was exported. */
  kvBytes?: number;
  promptTokens: number;
}

export interface PhaseModels {
  model(service: string): PhaseModel;
  observePrefill(service: string, observation: PhaseObservation): void;
  observeFirstToken(service: string, predictedMs: number, actualMs: number): void;
  observeBetweenTokens(service: string, predictedMs: number, actualMs: number): void;
}

export interface PhaseModelsOptions {
  maxServices?: number;
  /** Assumed until the first requests of a service have finished. */
  initial?: PhaseModel;
}

export const initialPhaseModel: PhaseModel = {
  prefillMsPerToken: { 'prefill-worker': 0.1, 'decode-worker': 0.1 },
  kvBytesPerToken: 131_072,
  averagePrefillTokens: 2_000,
  firstTokenDeviation: 0.3,
  betweenTokensDeviation: 0.2,
};

/** With a deviation close to 0, every small prediction error would lead to a refusal. */
const minimumDeviation = 0.05;
/** Limits outliers, for example after a paused process, which would distort the deviation for long. */
const maximumRatio = 5;

export function createPhaseModels(options: PhaseModelsOptions = {}): PhaseModels {
  const { maxServices = 512, initial = initialPhaseModel } = options;
  const services = createBoundedMap<string, ServiceEstimates>({ maxEntries: maxServices });
  const estimatesOf = (service: string) =>
    services.getOrCreate(service, () => createServiceEstimates(initial));

  return {
    model: (service) => {
      const estimates = services.get(service);
      return estimates === undefined ? initial : toModel(estimates);
    },
    observePrefill: (service, observation) => observePrefill(estimatesOf(service), observation),
    observeFirstToken: (service, predictedMs, actualMs) =>
      observeRatio(estimatesOf(service).firstTokenRatio, predictedMs, actualMs),
    observeBetweenTokens: (service, predictedMs, actualMs) =>
      observeRatio(estimatesOf(service).betweenTokensRatio, predictedMs, actualMs),
  };
}

type ServiceEstimates = ReturnType<typeof createServiceEstimates>;
type RunningEstimate = ReturnType<typeof createRunningEstimate>;

function createServiceEstimates(initial: PhaseModel) {
  const perToken = (location: PrefillLocation) =>
    createRunningEstimate({ initialMean: initial.prefillMsPerToken[location] });
  return {
    prefillMsPerToken: {
      [prefillLocations.prefillWorker]: perToken(prefillLocations.prefillWorker),
      [prefillLocations.decodeWorker]: perToken(prefillLocations.decodeWorker),
    },
    kvBytesPerToken: createRunningEstimate({ initialMean: initial.kvBytesPerToken }),
    prefillTokens: createRunningEstimate({
      smoothing: 0.02,
      initialMean: initial.averagePrefillTokens,
    }),
    firstTokenRatio: createRunningEstimate({
      smoothing: 0.05,
      initialMean: 1,
      initialDeviation: initial.firstTokenDeviation,
    }),
    betweenTokensRatio: createRunningEstimate({
      smoothing: 0.05,
      initialMean: 1,
      initialDeviation: initial.betweenTokensDeviation,
    }),
  };
}

function observePrefill(estimates: ServiceEstimates, observation: PhaseObservation): void {
  const { location, uncachedTokens, prefillMs, kvBytes, promptTokens } = observation;
  estimates.prefillTokens.observe(promptTokens);
  if (uncachedTokens > 0) {
    estimates.prefillMsPerToken[location].observe(prefillMs / uncachedTokens);
  }
  if (kvBytes !== undefined && promptTokens > 0) {
    estimates.kvBytesPerToken.observe(kvBytes / promptTokens);
  }
}

function observeRatio(ratio: RunningEstimate, predictedMs: number, actualMs: number): void {
  if (predictedMs > 0) {
    ratio.observe(Math.min(actualMs / predictedMs, maximumRatio));
  }
}

function toModel(estimates: ServiceEstimates): PhaseModel {
  return {
    prefillMsPerToken: {
      [prefillLocations.prefillWorker]: estimates.prefillMsPerToken['prefill-worker'].mean(),
      [prefillLocations.decodeWorker]: estimates.prefillMsPerToken['decode-worker'].mean(),
    },
    kvBytesPerToken: estimates.kvBytesPerToken.mean(),
    averagePrefillTokens: estimates.prefillTokens.mean(),
    firstTokenDeviation: relativeDeviation(estimates.firstTokenRatio),
    betweenTokensDeviation: relativeDeviation(estimates.betweenTokensRatio),
  };
}

/** Root mean square error of the ratio against 1, so that a constant bias counts as uncertainty. */
function relativeDeviation(ratio: RunningEstimate): number {
  return Math.max(minimumDeviation, Math.hypot(ratio.deviation(), ratio.mean() - 1));
}
