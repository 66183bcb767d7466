/** A quantile over the newest samples, computed on demand and cached for a number of samples. */

export interface RecentQuantileOptions {
  quantile: number;
  /** Number of newest samples kept. */
  sampleCount?: number;
  /** Number of new samples after which the quantile is computed again. */
  refreshEvery?: number;
}

export interface RecentQuantile {
  observe(sample: number): void;
  /** 0 before the first sample. */
  value(): number;
}

export function createRecentQuantile(options: RecentQuantileOptions): RecentQuantile {
  const { quantile, sampleCount = 512, refreshEvery = 64 } = options;
  const ring = new Float64Array(sampleCount);
  let seenCount = 0;
  let computedAtCount = 0;
  let cachedValue = 0;

  function compute(): number {
    const sorted = ring.slice(0, Math.min(seenCount, sampleCount)).sort();
    return sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0;
  }

  return {
    observe: (sample) => {
      ring[seenCount % sampleCount] = sample;
      seenCount += 1;
    },
    value: () => {
      if (computedAtCount === 0 || seenCount - computedAtCount >= refreshEvery) {
        cachedValue = compute();
        computedAtCount = seenCount;
      }
      return cachedValue;
    },
  };
}
