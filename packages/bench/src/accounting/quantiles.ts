/** Quantiles of durations, computed with hdr-histogram-js at a resolution of 0.01 ms. */
import { build } from 'hdr-histogram-js';

export interface Quantiles {
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

const unitsPerMs = 100;
const maxTrackableMs = 600_000;
const significantDigits = 3;

/** Quantiles in milliseconds; all are 0 if there are no values. Values above 600 s count as 600 s. */
export function computeQuantiles(valuesMs: Iterable<number>): Quantiles {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxTrackableMs * unitsPerMs,
    numberOfSignificantValueDigits: significantDigits,
  });
  for (const valueMs of valuesMs) {
    histogram.recordValue(Math.round(Math.min(Math.max(valueMs, 0), maxTrackableMs) * unitsPerMs));
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

/** Median of a few values, such as the results of five seeds. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2;
}
