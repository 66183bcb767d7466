/**
 * How much of an engine's memory stays free while its streams grow. Each stream takes its prompt's memory at once, more
 * with each token that it emits, and frees all of it when it ends; how long it will be is known only roughly.
 *
 * Answers bursts: many streams begin together, so the sum of what they hold now says little about the moment at which
 * all of them are long. A constant share of the expected output is both too little there (streams are paused and their
 * prompts read again) and too much where streams are spread evenly over their lives.
 */

import type { StreamOutlook } from '@bluebellhitch/protocol';

export interface MemoryForecastOptions {
  streams: readonly StreamOutlook[];
  /** Tokens in use that no stream explains. */
  otherTokens?: number;
  capacityTokens: number;
  /** How narrow lengths lie around their median: see `survival`. */
  lengthShape: number;
  /** Standard deviations of the forecast that stay free besides its mean. */
  caution: number;
}

export interface MemoryForecast {
  /** Tokens that stay free at the worst moment ahead; negative where memory is expected to run out. */
  freeTokens(): number;
  /** The same with one more stream. */
  freeTokensWith(stream: StreamOutlook): number;
  add(stream: StreamOutlook): void;
}

/** Memory in use at one moment ahead. */
interface Need {
  /** Tokens that each stream that still runs has emitted until then. */
  aheadTokens: number;
  /** If no stream has ended until then. */
  most: number;
  mean: number;
  variance: number;
}

/**
 * Moments looked at, as parts of the streams' typical length. All streams of an engine emit at the same pace, so tokens
 * emitted from now on measure the time. Beyond twice the typical length few of today's streams run.
 */
const horizons = [0, 0.15, 0.3, 0.45, 0.6, 0.8, 1, 1.25, 1.5, 2];

export function createMemoryForecast(options: MemoryForecastOptions): MemoryForecast {
  const { streams, otherTokens = 0, capacityTokens, lengthShape, caution } = options;
  const freeNow = capacityTokens - otherTokens;
  let needs = streams.length === 0 ? undefined : needsAhead(typicalTokens(streams));
  streams.forEach(add);

  function addTo(need: Need, stream: StreamOutlook): Need {
    const held = stream.promptTokens + stream.emittedTokens + need.aheadTokens;
    const runs = survival(stream, need.aheadTokens, lengthShape);
    return {
      aheadTokens: need.aheadTokens,
      most: need.most + held,
      mean: need.mean + held * runs,
      variance: need.variance + held * held * runs * (1 - runs),
    };
  }

  /** Shortly ahead hardly a stream has ended: a margin beyond all of them would leave a tenth of an engine empty. */
  function neededTokens({ mean, variance, most }: Need): number {
    return Math.min(most, mean + caution * Math.sqrt(variance));
  }

  function leastFree(all: readonly Need[]): number {
    return freeNow - Math.max(0, ...all.map(neededTokens));
  }

  function needsWith(stream: StreamOutlook): Need[] {
    const before = needs ?? needsAhead(stream.medianOutputTokens);
    return before.map((need) => addTo(need, stream));
  }

  function add(stream: StreamOutlook): void {
    needs = needsWith(stream);
  }

  return {
    freeTokens: () => leastFree(needs ?? []),
    freeTokensWith: (stream) => leastFree(needsWith(stream)),
    add,
  };
}

function typicalTokens(streams: readonly StreamOutlook[]): number {
  const sum = streams.reduce((total, { medianOutputTokens }) => total + medianOutputTokens, 0);
  return sum / streams.length;
}

function needsAhead(typical: number): Need[] {
  return horizons.map((part) => ({ aheadTokens: part * typical, most: 0, mean: 0, variance: 0 }));
}

/**
 * Probability that a stream that has come this far emits so many more tokens. Lengths are taken as log-logistic, which
 * is close to the log-normal that lengths follow, needs no table, and lets a stream that has outlived its median be
 * expected to go on for long.
 */
export function survival(
  { emittedTokens, medianOutputTokens }: StreamOutlook,
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
