/** Prefill work of a fleet: what its engines computed, and what of it nobody used. */
import type { EngineStats } from '@bluebellhitch/standins';
import { readJson } from '../fleet/controlCalls';
import { readMetrics } from './metricsText';

export interface PrefillAccount {
  prefillTokens: number;
  wastedTokens: number;
  preemptions: number;
}

export const emptyPrefillAccount: PrefillAccount = {
  prefillTokens: 0,
  wastedTokens: 0,
  preemptions: 0,
};

/** Sums what the engines at these addresses have counted since their start. */
export async function readPrefillAccount(engineAddresses: string[]): Promise<PrefillAccount> {
  const stats = await Promise.all(
    engineAddresses.map((address) => readJson(`${address}/stats`) as Promise<EngineStats>),
  );
  return stats.reduce(
    (total, { prefillTokens, wastedPrefillTokens, preemptions }) => ({
      prefillTokens: total.prefillTokens + prefillTokens,
      wastedTokens: total.wastedTokens + wastedPrefillTokens,
      preemptions: total.preemptions + preemptions,
    }),
    emptyPrefillAccount,
  );
}

/** Wasted tokens by cause, as the processes at these admin addresses counted them. */
export async function readWasteByCause(adminAddresses: string[]): Promise<Record<string, number>> {
  const samples = (await Promise.all(adminAddresses.map(readMetrics))).flat();
  const causes = new Map<string, number>();
  samples
    .filter(({ name }) => name === 'bluebell_wasted_prefill_tokens_total')
    .forEach(({ labels: { cause = 'unknown' }, value }) =>
      causes.set(cause, (causes.get(cause) ?? 0) + value),
    );
  return Object.fromEntries(causes);
}

/** Difference of two readings. */
export function subtractPrefill(after: PrefillAccount, before: PrefillAccount): PrefillAccount {
  return {
    prefillTokens: after.prefillTokens - before.prefillTokens,
    wastedTokens: after.wastedTokens - before.wastedTokens,
    preemptions: after.preemptions - before.preemptions,
  };
}
