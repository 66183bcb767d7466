/**
 * What a service's finished requests teach about the phases before the first token: prefill time per
 * token, KV cache bytes per token, and how far predictions were off.
 */
import { createBoundedMap } from './boundedMap';
import { createRunningEstimate } from './runningEstimate';

export const prefillPlaces = {
  prefillWorker: 'prefill-worker',
  decodeWorker: 'decode-worker',
} as const;
export type PrefillPlace = (typeof prefillPlaces)[keyof typeof prefillPlaces];

/** Learned figures of one service. */
export interface PhaseModel {
  /** Milliseconds per uncached prompt token. */
  prefillMsPerToken: Record<PrefillPlace, number>;
  kvBytesPerToken: number;
  /** Scale of the document's weight on wasted prefill. */
  averagePrefillTokens: number;
  /** Standard deviation of (actual / predicted) time to the first token. */
  firstTokenDeviation: number;
  /** The same for the time between tokens. */
  betweenTokensDeviation: number;
}

export interface PhaseObservation {
  place: PrefillPlace;
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
  /** Assumed until requests have taught better. */
  initial?: PhaseModel;
}

export const initialPhaseModel: PhaseModel = {
  prefillMsPerToken: { 'prefill-worker': 0.1, 'decode-worker': 0.1 },
  kvBytesPerToken: 131_072,
  averagePrefillTokens: 2_000,
  firstTokenDeviation: 0.3,
  betweenTokensDeviation: 0.2,
};

/** Never trusted to be exact: a deviation of nearly 0 would turn every small error into a refusal. */
const minimumDeviation = 0.05;
/** One absurd ratio, as after a paused process, must not spoil the spread for long. */
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
  const perToken = (place: PrefillPlace) =>
    createRunningEstimate({ initialMean: initial.prefillMsPerToken[place] });
  return {
    prefillMsPerToken: {
      [prefillPlaces.prefillWorker]: perToken(prefillPlaces.prefillWorker),
      [prefillPlaces.decodeWorker]: perToken(prefillPlaces.decodeWorker),
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
  const { place, uncachedTokens, prefillMs, kvBytes, promptTokens } = observation;
  estimates.prefillTokens.observe(promptTokens);
  if (uncachedTokens > 0) {
    estimates.prefillMsPerToken[place].observe(prefillMs / uncachedTokens);
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
      [prefillPlaces.prefillWorker]: estimates.prefillMsPerToken['prefill-worker'].mean(),
      [prefillPlaces.decodeWorker]: estimates.prefillMsPerToken['decode-worker'].mean(),
    },
    kvBytesPerToken: estimates.kvBytesPerToken.mean(),
    averagePrefillTokens: estimates.prefillTokens.mean(),
    firstTokenDeviation: spread(estimates.firstTokenRatio),
    betweenTokensDeviation: spread(estimates.betweenTokensRatio),
  };
}

/** Root mean square distance from a perfect prediction: a constant bias counts as uncertainty. */
function spread(ratio: RunningEstimate): number {
  return Math.max(minimumDeviation, Math.hypot(ratio.deviation(), ratio.mean() - 1));
}
