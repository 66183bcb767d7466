/**
 * Predicts output lengths from those of finished requests, by service, class and prompt size. Agents
 * use it to predict when a running stream releases its memory.
 */
import { createBoundedMap } from './boundedMap';

export interface LengthKey {
  service: string;
  className: string;
  promptTokens: number;
}

export interface LengthQuery extends LengthKey {
  /** The caller's limit; predictions never exceed it. */
  maxOutputTokens: number;
  /** Share of requests that are expected to end within the prediction. */
  quantile?: number;
}

export interface RemainingQuery extends LengthQuery {
  emittedTokens: number;
}

export interface LengthPredictor {
  observe(key: LengthKey, outputTokens: number): void;
  /** Expected output tokens of a request that has not started. */
  predict(query: LengthQuery): number;
  /** Expected further output tokens of a stream that has emitted `emittedTokens`. */
  predictRemaining(query: RemainingQuery): number;
}

export interface LengthPredictorOptions {
  maxBuckets?: number;
  /** Number of newest lengths kept per bucket. */
  samplesPerBucket?: number;
}

interface LengthSamples {
  add(length: number): void;
  /** Ascending. */
  sorted(): Uint32Array;
}

/** With fewer samples a bucket is not representative, and the next wider one is used. */
const minimumSamples = 8;
const defaultQuantile = 0.5;
/** A stream longer than all samples is expected to continue for this share of its length. */
const overrunShare = 0.25;

export function createLengthPredictor(options: LengthPredictorOptions = {}): LengthPredictor {
  const { maxBuckets = 2048, samplesPerBucket = 64 } = options;
  const buckets = createBoundedMap<string, LengthSamples>({ maxEntries: maxBuckets });

  function observe(key: LengthKey, outputTokens: number): void {
    bucketNames(key).forEach((name) => {
      buckets.getOrCreate(name, () => createSamples(samplesPerBucket)).add(outputTokens);
    });
  }

  /** Lengths in the narrowest bucket that has enough samples, ascending. */
  function samplesFor(key: LengthKey): Uint32Array | undefined {
    return bucketNames(key)
      .map((name) => buckets.get(name)?.sorted())
      .find((lengths) => lengths !== undefined && lengths.length >= minimumSamples);
  }

  function predictRemaining(query: RemainingQuery): number {
    const { emittedTokens, maxOutputTokens, quantile = defaultQuantile } = query;
    const lengths = samplesFor(query);
    const total =
      lengths === undefined ? maxOutputTokens : expectedTotal(lengths, emittedTokens, quantile);
    return Math.max(0, Math.min(total, maxOutputTokens) - emittedTokens);
  }

  return {
    observe,
    predict: (query) => predictRemaining({ ...query, emittedTokens: 0 }),
    predictRemaining,
  };
}

/** Names of the buckets of a request, from the narrowest to the widest. */
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

/** Quantile of the lengths above `emittedTokens`. */
function expectedTotal(lengths: Uint32Array, emittedTokens: number, quantile: number): number {
  const start = lengths.findIndex((length) => length > emittedTokens);
  if (start === -1) {
    return emittedTokens * (1 + overrunShare);
  }
  const index = start + Math.floor(quantile * (lengths.length - start));
  return lengths[Math.min(index, lengths.length - 1)] ?? 0;
}
