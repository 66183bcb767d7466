/**
 * What a fleet of stand-ins can serve at best, from their settings alone: the ceiling that loads are
 * told as a share of. No policy exceeds it, because it assumes full batches, no waiting for transfers
 * and that a prefix once computed is never computed again.
 */
import type { FleetDescription } from '../fleet/fleetDescription';
import type { EngineProfile } from '../fleet/fleetParts';
import { createTrace, isModelArrival, type ModelArrival } from './trace';
import type { InstitutionMix } from './mixes';

export interface CapacityEstimate {
  /** Model requests a second; the least of the three bounds. */
  requestsPerSecond: number;
  decodeSlotsPerSecond: number;
  decodeMemoryPerSecond: number;
  prefillPerSecond: number;
  meanPromptTokens: number;
  meanOutputTokens: number;
  /** Share of prompt tokens that an unbounded prefix cache would spare in one cell. */
  reusableRatio: number;
}

export interface CapacityOptions {
  description: FleetDescription;
  mix: InstitutionMix;
  /** Of the cells: a short cell computes each prefix at least once. */
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
  const holdSeconds = (meanOutputTokens * fullStepMs(engine)) / 1000;
  const reusableRatio = reusableShare(sample);
  const meanPromptTokens = mean(sample, ({ promptTokens }) => promptTokens);
  const meanPrefillMs =
    engine.prefillBaseMs + meanPromptTokens * (1 - reusableRatio) * engine.prefillMsPerToken;
  const heldByteSeconds = mean(sample, (arrival) => byteSecondsOf(arrival, engine));
  const bounds = {
    decodeSlotsPerSecond: (countOf('decode') * engine.slotCount) / holdSeconds,
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

function fullStepMs({ stepBaseMs, stepPerStreamMs, slotCount }: EngineProfile): number {
  return stepBaseMs + slotCount * stepPerStreamMs;
}

/** Memory of prompt and output for as long as the answer takes. */
function byteSecondsOf(arrival: ModelArrival, engine: EngineProfile): number {
  const { promptTokens, maxOutputTokens } = arrival;
  const seconds = (maxOutputTokens * fullStepMs(engine)) / 1000;
  return (promptTokens + maxOutputTokens) * engine.kvBytesPerToken * seconds;
}

/** Tokens of prefixes that an earlier request of the sample has had already. */
function reusableShare(sample: readonly ModelArrival[]): number {
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
