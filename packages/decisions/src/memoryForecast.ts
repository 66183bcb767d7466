/**
 * Forecasts how much of an engine's memory stays free while its streams grow. A stream takes memory for its prompt when
 * it is placed and more with each token that it emits, and frees all of it when it ends. Its final length is known only
 * roughly.
 *
 * Reserving a constant share of the expected output fails under bursts. If many streams begin together, it reserves too
 * little: all of them are long at the same time, so streams are paused and their prompts are computed again. If
 * streams are spread evenly over their lifetimes, it reserves too much.
 */

import type { StreamEstimate } from '@bluebellhitch/protocol';

export interface MemoryForecastOptions {
  streams: readonly StreamEstimate[];
  /** Tokens in use that none of the streams accounts for. */
  otherTokens?: number;
  capacityTokens: number;
  /** Shape parameter of the length distribution, larger for narrower ones; see `survivalProbability`. */
  lengthShape: number;
  /** Safety margin above the mean demand, in standard deviations. */
  marginDeviations: number;
}

export interface MemoryForecast {
  /** Fewest free tokens over the forecast period; negative if memory is expected to run out. */
  freeTokens(): number;
  /** The same with one more stream. */
  freeTokensWith(stream: StreamEstimate): number;
  add(stream: StreamEstimate): void;
}

/** Memory that the streams hold at one moment in the future. */
interface MemoryDemand {
  /** Tokens that each stream that still runs emits until then. */
  aheadTokens: number;
  /** Demand if no stream ends until then. */
  maxTokens: number;
  meanTokens: number;
  variance: number;
}

/**
 * Moments that are evaluated, as fractions of the streams' typical length. All streams of an engine emit at the same
 * rate, so time is measured in emitted tokens. Few of the current streams still run after twice the typical length.
 */
const horizonFractions = [0, 0.15, 0.3, 0.45, 0.6, 0.8, 1, 1.25, 1.5, 2];

export function createMemoryForecast(options: MemoryForecastOptions): MemoryForecast {
  const { streams, otherTokens = 0, capacityTokens, lengthShape, marginDeviations } = options;
  const freeNow = capacityTokens - otherTokens;
  let demands = streams.length === 0 ? undefined : createDemands(averageMedianTokens(streams));
  streams.forEach(add);

  function addStream(demand: MemoryDemand, stream: StreamEstimate): MemoryDemand {
    const heldTokens = stream.promptTokens + stream.emittedTokens + demand.aheadTokens;
    const runningProbability = survivalProbability(stream, demand.aheadTokens, lengthShape);
    return {
      aheadTokens: demand.aheadTokens,
      maxTokens: demand.maxTokens + heldTokens,
      meanTokens: demand.meanTokens + heldTokens * runningProbability,
      variance:
        demand.variance + heldTokens * heldTokens * runningProbability * (1 - runningProbability),
    };
  }

  /** At most the demand of all streams: a larger margin would leave a tenth of the memory unused in the near future. */
  function neededTokens({ meanTokens, variance, maxTokens }: MemoryDemand): number {
    return Math.min(maxTokens, meanTokens + marginDeviations * Math.sqrt(variance));
  }

  function minFreeTokens(all: readonly MemoryDemand[]): number {
    return freeNow - Math.max(0, ...all.map(neededTokens));
  }

  function demandsWith(stream: StreamEstimate): MemoryDemand[] {
    const current = demands ?? createDemands(stream.medianOutputTokens);
    return current.map((demand) => addStream(demand, stream));
  }

  function add(stream: StreamEstimate): void {
    demands = demandsWith(stream);
  }

  return {
    freeTokens: () => minFreeTokens(demands ?? []),
    freeTokensWith: (stream) => minFreeTokens(demandsWith(stream)),
    add,
  };
}

function averageMedianTokens(streams: readonly StreamEstimate[]): number {
  const sum = streams.reduce((total, { medianOutputTokens }) => total + medianOutputTokens, 0);
  return sum / streams.length;
}

function createDemands(medianTokens: number): MemoryDemand[] {
  return horizonFractions.map((fraction) => ({
    aheadTokens: fraction * medianTokens,
    maxTokens: 0,
    meanTokens: 0,
    variance: 0,
  }));
}

/**
 * Probability that a stream still runs after `aheadTokens` more tokens. Lengths are modelled as log-logistic: this is
 * close to their actual log-normal distribution, has a closed form, and expects a stream that has exceeded its median
 * to continue for long.
 */
export function survivalProbability(
  { emittedTokens, medianOutputTokens }: StreamEstimate,
  aheadTokens: number,
  lengthShape: number,
): number {
  if (aheadTokens === 0) {
    return 1;
  }
  if (medianOutputTokens <= 0) {
    return 0;
  }
  const odds = (tokens: number) => (tokens / medianOutputTokens) ** lengthShape;
  return (1 + odds(emittedTokens)) / (1 + odds(emittedTokens + aheadTokens));
}
