/**
 * Estimates the delay of calls that known queues do not account for, from the calls made. A caller that avoids the calls
 * because of the delay takes no more samples: each call avoided lowers the weight of what was measured, until one is made
 * and measures the delay again.
 */

export interface UnexplainedDelayOptions {
  /** Weight of a new sample while no call is avoided, in (0, 1]. */
  smoothing?: number;
}

export interface UnexplainedDelay {
  observe(sampleMs: number): void;
  /** A call was not made because of the delay. */
  noteAvoided(): void;
  /** As measured; negative if calls take less time than the known queues suggest. */
  meanMs(): number;
  /** The mean, closer to 0 with each call that was avoided since the last sample. */
  weightedMs(): number;
}

const defaultSmoothing = 0.3;
/** What a call avoided leaves of the weight of earlier samples. */
const keptWeight = 0.9;

export function createUnexplainedDelay(options: UnexplainedDelayOptions = {}): UnexplainedDelay {
  const { smoothing = defaultSmoothing } = options;
  let meanMs = 0;
  let sampleCount = 0;
  let weight = 1;

  function observe(sampleMs: number): void {
    if (!Number.isFinite(sampleMs)) {
      return;
    }
    sampleCount += 1;
    // Early samples count as in a plain average.
    const newShare = Math.max(smoothing, 1 / (sampleCount + 1));
    meanMs += (1 - (1 - newShare) * weight) * (sampleMs - meanMs);
    weight = 1;
  }

  return {
    observe,
    noteAvoided() {
      weight *= keptWeight;
    },
    meanMs: () => meanMs,
    weightedMs: () => meanMs * weight,
  };
}
