/** Loads for quota replays, sized like the users' deployment with workspaces. */
import type { QuotaLoad, QuotaStep } from './quotaLoad';

/** A quota of 48,000 tokens per second across 24 routers; demand is a little more than half of it. */
export const ordinaryQuotaLoad: QuotaLoad = {
  routers: 24,
  shareAtOne: 0,
  seconds: 24,
  ratePerSecond: 48_000,
  burst: 48_000,
  slack: { windowMs: 8_000, overageShare: 0.1, amount: 190_000 },
  demand: 0.55,
  cost: { min: 200, max: 6_600 },
  delayMs: 8,
  lostShare: 0.03,
  steps: [],
};

const flood: QuotaStep = { kind: 'demand', atMs: 4_000, forMs: 15_000, factor: 7.5 };
const withSteps = (...steps: QuotaStep[]): QuotaLoad => ({ ...ordinaryQuotaLoad, steps });

export const quotaLoads = {
  ordinary: ordinaryQuotaLoad,
  /** Few callers: seven of ten requests go to one router. */
  atOneRouter: { ...ordinaryQuotaLoad, shareAtOne: 0.7 },
  flood: withSteps(flood),
  floodWhileCut: withSteps(flood, { kind: 'cut', atMs: 3_000, forMs: 12_000, share: 0.35 }),
  cutWhileFlooded: withSteps(flood, { kind: 'cut', atMs: 8_000, forMs: 8_000, share: 0.35 }),
  splitWhileFlooded: withSteps(flood, { kind: 'split', atMs: 8_000, forMs: 8_000, groups: 3 }),
  restartsWhileFlooded: withSteps(
    flood,
    ...[5, 6, 7, 8, 9, 10, 11].map((second): QuotaStep => ({
      kind: 'restart',
      atMs: second * 1_000,
      share: 0.12,
    })),
  ),
  allRestartWhileFlooded: withSteps(flood, { kind: 'restart', atMs: 10_000, share: 1 }),
  pausesWhileFlooded: withSteps(flood, { kind: 'pause', atMs: 8_000, forMs: 4_000, share: 0.3 }),
  /** The limit drops far below the demand. */
  limitFalls: withSteps({ kind: 'limit', atMs: 6_000, factor: 0.15 }),
  cutInOrdinaryLoad: withSteps({ kind: 'cut', atMs: 8_000, forMs: 8_000, share: 0.35 }),
} as const satisfies Record<string, QuotaLoad>;

/**
 * A backend server with a limit of two requests per second from all routers together, at three times that demand. The
 * tolerance per four seconds is half the limit plus five requests: `burst` with its overage, 1.5, and `slack.amount`.
 */
const serverLimitLoad: QuotaLoad = {
  routers: 24,
  shareAtOne: 0,
  seconds: 40,
  ratePerSecond: 2,
  burst: 1,
  slack: { windowMs: 4_000, overageShare: 0.5, amount: 3.5 },
  demand: 3,
  cost: { min: 1, max: 1 },
  delayMs: 8,
  lostShare: 0.03,
  steps: [],
};
const limited = (over: Partial<QuotaLoad> = {}): QuotaLoad => ({ ...serverLimitLoad, ...over });
const serverFlood: QuotaStep = { kind: 'demand', atMs: 12_000, forMs: 20_000, factor: 10 };

export const serverLimitLoads = {
  fourRouters: limited({ routers: 4 }),
  ordinary: limited(),
  /** Demand is below the server's limit. */
  littleDemand: limited({ demand: 0.8 }),
  largeFleet: limited({ routers: 359, demand: 6 }),
  flood: limited({ steps: [serverFlood] }),
  floodAtLargeFleet: limited({ routers: 359, steps: [serverFlood] }),
  floodWhileCut: limited({
    steps: [serverFlood, { kind: 'cut', atMs: 14_000, forMs: 8_000, share: 0.35 }],
  }),
  splitWhileFlooded: limited({
    steps: [serverFlood, { kind: 'split', atMs: 14_000, forMs: 8_000, groups: 3 }],
  }),
  allRestartWhileFlooded: limited({
    steps: [serverFlood, { kind: 'restart', atMs: 16_000, share: 1 }],
  }),
  pausesWhileFlooded: limited({
    steps: [serverFlood, { kind: 'pause', atMs: 14_000, forMs: 4_000, share: 0.3 }],
  }),
  limitFalls: limited({
    ratePerSecond: 12,
    steps: [{ kind: 'limit', atMs: 16_000, factor: 0.15 }],
  }),
} as const satisfies Record<string, QuotaLoad>;
