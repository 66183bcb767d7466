/** Prefill work of a fleet: tokens that its engines computed, and those of them that were never used. */
import type { EngineStats } from '@bluebellhitch/standins';
import { readJson } from '../fleet/controlCalls';
import { readMetrics } from './metricsText';

export interface PrefillTotals {
  prefillTokens: number;
  wastedTokens: number;
  preemptions: number;
}

export const emptyPrefillTotals: PrefillTotals = {
  prefillTokens: 0,
  wastedTokens: 0,
  preemptions: 0,
};

/** Sums the counters of the engines at these addresses since their start. */
export async function readPrefillTotals(engineAddresses: string[]): Promise<PrefillTotals> {
  const stats = await Promise.all(
    engineAddresses.map((address) => readJson(`${address}/stats`) as Promise<EngineStats>),
  );
  return stats.reduce(
    (total, { prefillTokens, wastedPrefillTokens, preemptions }) => ({
      prefillTokens: total.prefillTokens + prefillTokens,
      wastedTokens: total.wastedTokens + wastedPrefillTokens,
      preemptions: total.preemptions + preemptions,
    }),
    emptyPrefillTotals,
  );
}

/** Wasted prefill tokens by cause, from the metrics at these admin addresses. */
export async function readWastedPrefillByCause(
  adminAddresses: string[],
): Promise<Record<string, number>> {
  const samples = (await Promise.all(adminAddresses.map(readMetrics))).flat();
  const causes = new Map<string, number>();
  samples
    .filter(({ name }) => name === 'bluebell_wasted_prefill_tokens_total')
    .forEach(({ labels: { cause = 'unknown' }, value }) =>
      causes.set(cause, (causes.get(cause) ?? 0) + value),
    );
  return Object.fromEntries(causes);
}

export function subtractPrefillTotals(after: PrefillTotals, before: PrefillTotals): PrefillTotals {
  return {
    prefillTokens: after.prefillTokens - before.prefillTokens,
    wastedTokens: after.wastedTokens - before.wastedTokens,
    preemptions: after.preemptions - before.preemptions,
  };
}
