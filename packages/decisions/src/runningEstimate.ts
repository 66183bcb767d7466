/** Exponentially weighted moving average and standard deviation of a measured quantity. */

export interface RunningEstimateOptions {
  /** Weight of a new sample, in (0, 1]. */
  smoothing?: number;
  initialMean?: number;
  initialDeviation?: number;
}

export interface RunningEstimate {
  observe(sample: number): void;
  mean(): number;
  /** Standard deviation. */
  deviation(): number;
  sampleCount(): number;
}

export function createRunningEstimate(options: RunningEstimateOptions = {}): RunningEstimate {
  const { smoothing = 0.1, initialMean = 0, initialDeviation = 0 } = options;
  let mean = initialMean;
  let variance = initialDeviation ** 2;
  let sampleCount = 0;

  function observe(sample: number): void {
    if (!Number.isFinite(sample)) {
      return;
    }
    sampleCount += 1;
    // Early samples count as in a plain average, so that a poor initial mean loses its influence quickly.
    const weight = Math.max(smoothing, 1 / (sampleCount + 1));
    const difference = sample - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference ** 2);
  }

  return {
    observe,
    mean: () => mean,
    deviation: () => Math.sqrt(variance),
    sampleCount: () => sampleCount,
  };
}
