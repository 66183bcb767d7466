/**
 * How many workers of a service should be in the prefill role, from the pressure on both pools. Pure:
 * the caller keeps the state and passes the time.
 */
import type { LoadHint } from '@bluebellhitch/protocol';

/** 0: no waiting; 1: waiting alone uses up the target. */
export interface PoolPressure {
  prefill: number;
  decode: number;
}

export interface LatencyTargets {
  firstTokenMs: number;
  betweenTokensMs: number;
}

/** Kept between two observations; begin with `{}`. */
export interface RoleBalanceState {
  /** Workers wanted in the prefill role since the last move. */
  target?: number;
  leaning?: 'to-prefill' | 'to-decode';
  leaningSinceMs?: number;
  movedAtMs?: number;
}

export interface RoleBalanceOptions {
  /** Difference of pressures that makes a move worth its cost. */
  enterDifference?: number;
  /** A pool above this pressure gives no worker away: moving would only shift the overload. */
  giverLimit?: number;
  /** The difference must last this long, so that a burst moves nothing. */
  holdMs?: number;
  /** Pause after a move, for its effect to show before the next. */
  cooldownMs?: number;
}

export interface RoleBalanceInput {
  /** Absent where a pool has no worker that answered. */
  pressure?: PoolPressure;
  prefillCount: number;
  workerCount: number;
  state: RoleBalanceState;
  nowMs: number;
  options?: RoleBalanceOptions;
}

export interface RoleBalance {
  wantedPrefillWorkers: number;
  state: RoleBalanceState;
}

const defaults = { enterDifference: 0.3, giverLimit: 0.5, holdMs: 30_000, cooldownMs: 120_000 };

/** Mean pressure of each pool; undefined where one of them is empty. */
export function measurePressure(
  loads: readonly LoadHint[],
  targets: LatencyTargets,
): PoolPressure | undefined {
  const waitShare = (load: LoadHint) => load.queueWaitMs / targets.firstTokenMs;
  const stepExcess = (load: LoadHint) => load.stepMs / targets.betweenTokensMs - 1;
  const prefill = loads.filter(({ role }) => role === 'prefill').map(waitShare);
  const decode = loads
    .filter(({ role }) => role === 'decode' || role === 'both')
    .map((load) => Math.max(waitShare(load), stepExcess(load), 0));
  return prefill.length === 0 || decode.length === 0
    ? undefined
    : { prefill: mean(prefill), decode: mean(decode) };
}

/** Moves at most one worker at a time. Never empties the decode pool, nor a prefill pool that exists. */
export function balanceRoles(input: RoleBalanceInput): RoleBalance {
  const { pressure, workerCount, nowMs } = input;
  const limits = { ...defaults, ...input.options };
  const target = clampTarget(input.state.target ?? input.prefillCount, workerCount);
  const leaning = pressure && leaningOf(pressure, limits);
  const state = leanedState({ ...input.state, target }, leaning, nowMs);
  const isDue =
    leaning !== undefined &&
    nowMs - (state.leaningSinceMs ?? nowMs) >= limits.holdMs &&
    nowMs - (state.movedAtMs ?? -Infinity) >= limits.cooldownMs;
  if (!isDue) {
    return { wantedPrefillWorkers: target, state };
  }
  const moved = target + (leaning === 'to-prefill' ? 1 : -1);
  const wantedPrefillWorkers = Math.max(1, clampTarget(moved, workerCount));
  return wantedPrefillWorkers === target
    ? { wantedPrefillWorkers, state }
    : { wantedPrefillWorkers, state: { target: wantedPrefillWorkers, movedAtMs: nowMs } };
}

function leaningOf(
  pressure: PoolPressure,
  limits: Required<RoleBalanceOptions>,
): RoleBalanceState['leaning'] {
  const difference = pressure.prefill - pressure.decode;
  if (difference >= limits.enterDifference && pressure.decode <= limits.giverLimit) {
    return 'to-prefill';
  }
  if (-difference >= limits.enterDifference && pressure.prefill <= limits.giverLimit) {
    return 'to-decode';
  }
  return undefined;
}

function leanedState(
  state: RoleBalanceState,
  leaning: RoleBalanceState['leaning'],
  nowMs: number,
): RoleBalanceState {
  return leaning === state.leaning ? state : { ...state, leaning, leaningSinceMs: nowMs };
}

function clampTarget(target: number, workerCount: number): number {
  return Math.max(0, Math.min(target, workerCount - 1));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
