/** Quantiles of durations by hdr-histogram-js, to a hundredth of a millisecond. */
import { build } from 'hdr-histogram-js';

export interface Quantiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

const unitsPerMs = 100;
const longestMs = 600_000;
const significantDigits = 3;

/** Milliseconds in, milliseconds out; all zero where there are no values. */
export function quantilesOf(valuesMs: Iterable<number>): Quantiles {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: longestMs * unitsPerMs,
    numberOfSignificantValueDigits: significantDigits,
  });
  for (const valueMs of valuesMs) {
    histogram.recordValue(Math.round(Math.min(Math.max(valueMs, 0), longestMs) * unitsPerMs));
  }
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / unitsPerMs;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p95: at(95),
    p99: at(99),
    max: histogram.totalCount === 0 ? 0 : histogram.maxValue / unitsPerMs,
  };
}

/** Median of a few figures, such as those of five seeds. */
export function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2;
}
