/**
 * What is known of the sizes of streams: how many tokens an event holds, how long answers become, and how fast they
 * come. Learned from the streams of this process, for it sees their events, and from the engines' reports.
 */
import {
  createEventSize,
  createOutputLengths,
  createRunningEstimate,
  type ReportedRun,
} from '@bluebellhitch/decisions';
import type { StreamOutlook } from '@bluebellhitch/protocol';
import type { PromptSize } from './model';

/** A stream that has come to its own end. */
export interface EndedStream {
  className: string;
  size: PromptSize;
  events: number;
  /** From its first event to its last. */
  durationMs: number;
}

export interface StreamSizes {
  /** A stream of this class that has so many events already. */
  expect(className: string, size: PromptSize, events: number): StreamOutlook;
  observeEnd(stream: EndedStream): void;
  observeRuns(serverId: string, runs: readonly ReportedRun[]): void;
  forget(serverId: string): void;
  emittedTokens(events: number): number;
  tokensPerMs(): number;
  /** How narrow lengths lie around their median. */
  lengthShape(): number;
}

/** A log-logistic variable of shape k has a logarithm with deviation 1.81 / k. */
const shapeOfDeviation = Math.PI / Math.sqrt(3);
/** Until answers have ended: the half of what a caller says, and as much again. */
const initialDeviation = 0.5;
const smoothing = 0.05;
export const initialLengthShape = shapeOfDeviation / initialDeviation;
/** Until streams have been measured: some thousand tokens in ten seconds. */
export const initialTokensPerMs = 0.3;

export function createStreamSizes(): StreamSizes {
  const eventSize = createEventSize();
  const lengths = createOutputLengths();
  const deviation = createRunningEstimate({ smoothing, initialMean: initialDeviation });
  const pace = createRunningEstimate({ smoothing, initialMean: initialTokensPerMs });

  const emittedTokens = (events: number) => events * (eventSize.tokens() ?? 0);

  function medianTokens(className: string, size: PromptSize): number {
    const { maxOutputTokens, expectedOutputTokens } = size;
    const eventTokens = eventSize.tokens();
    const estimate = lengths.estimate(className, expectedOutputTokens);
    if (estimate === undefined || eventTokens === undefined) {
      return Math.min(maxOutputTokens, expectedOutputTokens ?? maxOutputTokens);
    }
    deviation.observe(estimate.deviation);
    return Math.min(maxOutputTokens, estimate.medianEvents * eventTokens);
  }

  return {
    expect: (className, size, events) => ({
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
      if (durationMs > 0 && eventSize.tokens() !== undefined) {
        pace.observe(emittedTokens(events) / durationMs);
      }
    },
    observeRuns: eventSize.report,
    forget: eventSize.forget,
    emittedTokens,
    tokensPerMs: pace.mean,
    lengthShape: () => shapeOfDeviation / deviation.mean(),
  };
}
