/** A simulated load on one workspace's quota: routers, demand of callers, and faults of the routers. */
import type { QuotaSlack } from '@bluebellhitch/decisions';

export type QuotaStep =
  /** Multiplies the demand. */
  | { kind: 'demand'; atMs: number; forMs: number; factor: number }
  /** A share of the routers are partitioned from all others. */
  | { kind: 'cut'; atMs: number; forMs: number; share: number }
  /** The routers are partitioned into groups that cannot reach each other. */
  | { kind: 'split'; atMs: number; forMs: number; groups: number }
  /** A share of the routers restart without state. */
  | { kind: 'restart'; atMs: number; share: number }
  /** A share of the routers freeze; datagrams to them are queued. */
  | { kind: 'pause'; atMs: number; forMs: number; share: number }
  /** Multiplies the rate and burst that applied at the start. */
  | { kind: 'limit'; atMs: number; factor: number };

export interface QuotaLoad {
  routers: number;
  /** Share of all requests that go to one fixed router; the others go to random routers. */
  shareAtOne: number;
  seconds: number;
  ratePerSecond: number;
  burst: number;
  slack: QuotaSlack;
  /** Average demand divided by the rate. */
  demand: number;
  cost: { min: number; max: number };
  /** Mean one-way delay of a datagram. */
  delayMs: number;
  /** Share of datagrams that are lost. */
  lostShare: number;
  steps: readonly QuotaStep[];
}

export function isActiveAt(step: { atMs: number; forMs: number }, nowMs: number): boolean {
  return nowMs >= step.atMs && nowMs < step.atMs + step.forMs;
}

/** Demand in cost units per second. */
export function demandAt({ ratePerSecond, demand, steps }: QuotaLoad, nowMs: number): number {
  const factor = steps.reduce(
    (product, step) =>
      step.kind === 'demand' && isActiveAt(step, nowMs) ? product * step.factor : product,
    1,
  );
  return ratePerSecond * demand * factor;
}

/** Current rate and burst divided by those at the start. */
export function limitFactorAt({ steps }: QuotaLoad, nowMs: number): number {
  return steps.reduce(
    (factor, step) => (step.kind === 'limit' && nowMs >= step.atMs ? step.factor : factor),
    1,
  );
}
