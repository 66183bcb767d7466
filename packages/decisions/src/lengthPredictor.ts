/**
 * Output lengths learned from finished requests, by service, class and prompt size. Agents use them
 * to predict when a running stream releases its memory.
 */
import { createBoundedMap } from './boundedMap';

export interface LengthKey {
  service: string;
  className: string;
  promptTokens: number;
}

export interface LengthQuery extends LengthKey {
  /** The caller's limit: no prediction exceeds it. */
  maxOutputTokens: number;
  /** Share of requests that end within the prediction. */
  quantile?: number;
}

export interface RemainingQuery extends LengthQuery {
  emittedTokens: number;
}

export interface LengthPredictor {
  observe(key: LengthKey, outputTokens: number): void;
  /** Expected output tokens of a request that has not started. */
  predict(query: LengthQuery): number;
  /** Expected output tokens still to come, given that the stream has come this far. */
  predictRemaining(query: RemainingQuery): number;
}

export interface LengthPredictorOptions {
  maxBuckets?: number;
  /** Newest lengths kept per bucket. */
  samplesPerBucket?: number;
}

interface LengthSamples {
  add(length: number): void;
  /** Ascending. */
  sorted(): Uint32Array;
}

/** Fewer samples say too little about a bucket; the next wider one is asked. */
const minimumSamples = 8;
const defaultQuantile = 0.5;

export function createLengthPredictor(options: LengthPredictorOptions = {}): LengthPredictor {
  const { maxBuckets = 2048, samplesPerBucket = 64 } = options;
  const buckets = createBoundedMap<string, LengthSamples>({ maxEntries: maxBuckets });

  function observe(key: LengthKey, outputTokens: number): void {
    bucketNames(key).forEach((name) => {
      buckets.getOrCreate(name, () => createSamples(samplesPerBucket)).add(outputTokens);
    });
  }

  /** Lengths above `emittedTokens` in the narrowest bucket that has enough of them. */
  function samplesBeyond(key: LengthKey, emittedTokens: number): Uint32Array | undefined {
    return bucketNames(key)
      .map((name) => buckets.get(name)?.sorted().filter((length) => length > emittedTokens))
      .find((lengths) => lengths !== undefined && lengths.length >= minimumSamples);
  }

  function predictRemaining(query: RemainingQuery): number {
    const { emittedTokens, maxOutputTokens, quantile = defaultQuantile } = query;
    const lengths = samplesBeyond(query, emittedTokens);
    const total = lengths === undefined ? maxOutputTokens : quantileOf(lengths, quantile);
    return Math.max(0, Math.min(total, maxOutputTokens) - emittedTokens);
  }

  return {
    observe,
    predict: (query) => predictRemaining({ ...query, emittedTokens: 0 }),
    predictRemaining,
  };
}

/** From the narrowest bucket to the widest. */
function bucketNames({ service, className, promptTokens }: LengthKey): string[] {
  const sizeClass = Math.floor(Math.log2(Math.max(1, promptTokens)));
  const prefix = `${service}\u0000${className}`;
  return [`${prefix}\u0000${sizeClass}`, prefix, service];
}

function createSamples(capacity: number): LengthSamples {
  const ring = new Uint32Array(capacity);
  let count = 0;
  let sorted: Uint32Array | undefined;
  return {
    add: (length) => {
      ring[count % capacity] = length;
      count += 1;
      sorted = undefined;
    },
    sorted: () => {
      sorted ??= ring.slice(0, Math.min(count, capacity)).sort();
      return sorted;
    },
  };
}

function quantileOf(sorted: Uint32Array, quantile: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(quantile * sorted.length));
  return sorted[index] ?? 0;
}
