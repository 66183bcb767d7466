/**
 * Estimates the sizes of streams: tokens per event, output length and emission rate. Learned from the streams that this
 * process relays, whose events it sees, and from the engines' reports.
 */
import {
  createEventSize,
  createOutputLengths,
  createRunningEstimate,
  type ReportedRun,
} from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';
import type { PromptSize } from '../model';

/** A stream that has ended normally. */
export interface EndedStream {
  className: string;
  size: PromptSize;
  events: number;
  /** Time from its first event to its last. */
  durationMs: number;
}

export interface StreamSizes {
  /** Estimate for a stream of this class that has emitted this many events so far. */
  estimateStream(className: string, size: PromptSize, events: number): StreamEstimate;
  observeEnd(stream: EndedStream): void;
  observeRuns(serverId: string, runs: readonly ReportedRun[]): void;
  forget(serverId: string): void;
  emittedTokens(events: number): number;
  tokensPerMs(): number;
  /** Shape of the log-logistic distribution of output lengths: the larger, the narrower around the median. */
  lengthShape(): number;
}

/** The logarithm of a log-logistic variable of shape k has the standard deviation 1.81 / k. */
const shapeTimesDeviation = Math.PI / Math.sqrt(3);
/** Used until responses have ended: lengths differ from the caller's estimate by about half, up or down. */
const initialDeviation = 0.5;
const smoothing = 0.05;
export const initialLengthShape = shapeTimesDeviation / initialDeviation;
/** Used until streams have been measured: some thousand tokens in ten seconds. */
export const initialTokensPerMs = 0.3;

export function createStreamSizes(): StreamSizes {
  const eventSize = createEventSize();
  const lengths = createOutputLengths();
  const deviation = createRunningEstimate({ smoothing, initialMean: initialDeviation });
  const emissionRate = createRunningEstimate({ smoothing, initialMean: initialTokensPerMs });

  const emittedTokens = (events: number) => events * (eventSize.tokensPerEvent() ?? 0);

  function medianTokens(className: string, size: PromptSize): number {
    const { maxOutputTokens, expectedOutputTokens } = size;
    const eventTokens = eventSize.tokensPerEvent();
    const estimate = lengths.estimate(className, expectedOutputTokens);
    if (estimate === undefined || eventTokens === undefined) {
      return Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens);
    }
    deviation.observe(estimate.deviation);
    return Math.min(maxOutputTokens, estimate.medianEvents * eventTokens);
  }

  return {
    estimateStream: (className, size, events) => ({
      promptTokens: size.promptTokens,
      emittedTokens: emittedTokens(events),
      medianOutputTokens: medianTokens(className, size),
    }),
    observeEnd({ className, size, events, durationMs }) {
      const { expectedOutputTokens } = size;
      if (expectedOutputTokens !== undefined) {
        eventSize.observe(expectedOutputTokens, events);
      }
      lengths.observe(className, expectedOutputTokens, events);
      if (durationMs > 0 && eventSize.tokensPerEvent() !== undefined) {
        emissionRate.observe(emittedTokens(events) / durationMs);
      }
    },
    observeRuns: eventSize.report,
    forget: eventSize.forget,
    emittedTokens,
    tokensPerMs: emissionRate.mean,
    lengthShape: () => shapeTimesDeviation / deviation.mean(),
  };
}
