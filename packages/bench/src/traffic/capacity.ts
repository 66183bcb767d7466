/**
 * Estimates the maximum request rate of a fleet from the settings of its stand-ins; loads are given in percent of it.
 * It is an upper bound for every policy, because it assumes full batches, no waiting for transfers and that each
 * prefix is computed only once.
 */
import type { FleetDescription } from '../fleet/fleetDescription';
import type { EngineProfile } from '../fleet/fleetTypes';
import { createTrace, isModelArrival, type ModelArrival } from './trace';
import type { InstitutionMix } from './mixes';

export interface CapacityEstimate {
  /** Model requests per second; the minimum of the three bounds. */
  requestsPerSecond: number;
  decodeSlotsPerSecond: number;
  decodeMemoryPerSecond: number;
  prefillPerSecond: number;
  meanPromptTokens: number;
  meanOutputTokens: number;
  /** Fraction of prompt tokens that an unbounded prefix cache would save in one cell. */
  reusableRatio: number;
}

export interface CapacityOptions {
  description: FleetDescription;
  mix: InstitutionMix;
  /** Duration of a cell. Each prefix is computed at least once, so less of a short cell's prompts is reusable. */
  durationMs: number;
}

const sampleSeed = 20_260;
const sampleRatePerSecond = 100;

export function estimateCapacity(options: CapacityOptions): CapacityEstimate {
  const { description, mix, durationMs } = options;
  const { engine, backends } = description;
  const sample = createTrace({
    seed: sampleSeed,
    mix,
    ratePerSecond: sampleRatePerSecond,
    durationMs,
  }).filter(isModelArrival);
  const countOf = (role: string) => backends.filter((backend) => backend.role === role).length;
  const meanOutputTokens = mean(sample, ({ maxOutputTokens }) => maxOutputTokens);
  const decodeSeconds = (meanOutputTokens * fullBatchStepMs(engine)) / 1000;
  const reusableRatio = computeReusableRatio(sample);
  const meanPromptTokens = mean(sample, ({ promptTokens }) => promptTokens);
  const meanPrefillMs =
    engine.prefillBaseMs + meanPromptTokens * (1 - reusableRatio) * engine.prefillMsPerToken;
  const heldByteSeconds = mean(sample, (arrival) => computeByteSeconds(arrival, engine));
  const bounds = {
    decodeSlotsPerSecond: (countOf('decode') * engine.slotCount) / decodeSeconds,
    decodeMemoryPerSecond: (countOf('decode') * engine.capacityKvBytes) / heldByteSeconds,
    prefillPerSecond: (countOf('prefill') * 1000) / meanPrefillMs,
  };
  return {
    ...bounds,
    requestsPerSecond: Math.min(...Object.values(bounds)),
    meanPromptTokens,
    meanOutputTokens,
    reusableRatio,
  };
}

function fullBatchStepMs({ stepBaseMs, stepPerStreamMs, slotCount }: EngineProfile): number {
  return stepBaseMs + slotCount * stepPerStreamMs;
}

/** KV cache bytes of prompt and output, multiplied by the decode time in seconds. */
function computeByteSeconds(arrival: ModelArrival, engine: EngineProfile): number {
  const { promptTokens, maxOutputTokens } = arrival;
  const seconds = (maxOutputTokens * fullBatchStepMs(engine)) / 1000;
  return (promptTokens + maxOutputTokens) * engine.kvBytesPerToken * seconds;
}

/** Fraction of prompt tokens in prefixes that an earlier request of the sample has already used. */
function computeReusableRatio(sample: readonly ModelArrival[]): number {
  const seen = new Set<string>();
  const reusable = sample.reduce((total, { sharedPrefix }) => {
    const isKnown = seen.has(sharedPrefix.key);
    seen.add(sharedPrefix.key);
    return isKnown ? total + sharedPrefix.tokenCount : total;
  }, 0);
  const all = sample.reduce((total, { promptTokens }) => total + promptTokens, 0);
  return all === 0 ? 0 : reusable / all;
}

function mean<Item>(items: readonly Item[], valueOf: (item: Item) => number): number {
  const total = items.reduce((sum, item) => sum + valueOf(item), 0);
  return items.length === 0 ? 0 : total / items.length;
}
