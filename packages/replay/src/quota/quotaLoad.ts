/** A load for one workspace's quota: how many routers, what callers ask, and what befalls the routers meanwhile. */
import type { QuotaSlack } from '@bluebellhitch/decisions';

export type QuotaStep =
  /** So many times as much is asked. */
  | { kind: 'demand'; atMs: number; forMs: number; factor: number }
  /** A share of the routers hear nobody and are heard by nobody. */
  | { kind: 'cut'; atMs: number; forMs: number; share: number }
  /** The routers fall into so many groups that do not hear each other. */
  | { kind: 'split'; atMs: number; forMs: number; groups: number }
  /** A share of the routers start anew, and know nothing. */
  | { kind: 'restart'; atMs: number; share: number }
  /** A share of the routers stand still; what reaches them waits. */
  | { kind: 'pause'; atMs: number; forMs: number; share: number }
  /** Rate and burst are so many times those of before. */
  | { kind: 'limit'; atMs: number; factor: number };

export interface QuotaLoad {
  routers: number;
  /** Of all callers' requests, those that come to one router. */
  shareAtOne: number;
  seconds: number;
  ratePerSecond: number;
  burst: number;
  slack: QuotaSlack;
  /** Asked on average, over the rate. */
  demand: number;
  cost: { least: number; most: number };
  /** On the way of a datagram, and the part that is lost. */
  delayMs: number;
  lostShare: number;
  steps: readonly QuotaStep[];
}

export function isAt(step: { atMs: number; forMs: number }, nowMs: number): boolean {
  return nowMs >= step.atMs && nowMs < step.atMs + step.forMs;
}

export function demandAt({ ratePerSecond, demand, steps }: QuotaLoad, nowMs: number): number {
  const factor = steps.reduce(
    (product, step) =>
      step.kind === 'demand' && isAt(step, nowMs) ? product * step.factor : product,
    1,
  );
  return ratePerSecond * demand * factor;
}

/** Rate and burst in force, over those at the start. */
export function limitFactorAt({ steps }: QuotaLoad, nowMs: number): number {
  return steps.reduce(
    (factor, step) => (step.kind === 'limit' && nowMs >= step.atMs ? step.factor : factor),
    1,
  );
}
