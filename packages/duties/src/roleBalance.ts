/**
 * Computes how many workers of a service should be in the prefill role, from the pressure on both pools. Pure: the
 * caller keeps the state and passes the time.
 */
import type { LoadHint } from '@bluebellhitch/protocol';

/** 0: no waiting; 1: the waiting time alone uses up the latency target. */
export interface PoolPressure {
  prefill: number;
  decode: number;
}

export interface LatencyTargets {
  firstTokenMs: number;
  betweenTokensMs: number;
}

/** State between two observations; initially `{}`. */
export interface RoleBalanceState {
  /** Target number of prefill workers since the last move. */
  target?: number;
  direction?: 'to-prefill' | 'to-decode';
  directionSinceMs?: number;
  movedAtMs?: number;
}

export interface RoleBalanceOptions {
  /** Smallest difference of pressures at which a move is worth its cost. */
  minDifference?: number;
  /** A pool above this pressure gives up no worker: moving one would only shift the overload. */
  maxDonorPressure?: number;
  /** Time that the difference must last, so that a burst causes no move. */
  holdMs?: number;
  /** Pause after a move, so that its effect shows before the next one. */
  cooldownMs?: number;
}

export interface RoleBalanceInput {
  /** Absent if a pool has no worker that responded. */
  pressure?: PoolPressure;
  prefillCount: number;
  workerCount: number;
  state: RoleBalanceState;
  nowMs: number;
  options?: RoleBalanceOptions;
}

export interface RoleBalance {
  targetPrefillWorkers: number;
  state: RoleBalanceState;
}

const defaults = { minDifference: 0.3, maxDonorPressure: 0.5, holdMs: 30_000, cooldownMs: 120_000 };

/** Mean pressure of each pool; undefined if one of them is empty. */
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

/** Moves at most one worker at a time. Never empties the decode pool, nor the prefill pool if there is one. */
export function balanceRoles(input: RoleBalanceInput): RoleBalance {
  const { pressure, workerCount, nowMs } = input;
  const limits = { ...defaults, ...input.options };
  const target = clampTarget(input.state.target ?? input.prefillCount, workerCount);
  const direction = pressure && directionOf(pressure, limits);
  const state = withDirection({ ...input.state, target }, direction, nowMs);
  const isDue =
    direction !== undefined &&
    nowMs - (state.directionSinceMs ?? nowMs) >= limits.holdMs &&
    nowMs - (state.movedAtMs ?? -Infinity) >= limits.cooldownMs;
  if (!isDue) {
    return { targetPrefillWorkers: target, state };
  }
  const moved = target + (direction === 'to-prefill' ? 1 : -1);
  const targetPrefillWorkers = Math.max(1, clampTarget(moved, workerCount));
  return targetPrefillWorkers === target
    ? { targetPrefillWorkers, state }
    : { targetPrefillWorkers, state: { target: targetPrefillWorkers, movedAtMs: nowMs } };
}

function directionOf(
  pressure: PoolPressure,
  limits: Required<RoleBalanceOptions>,
): RoleBalanceState['direction'] {
  const difference = pressure.prefill - pressure.decode;
  if (difference >= limits.minDifference && pressure.decode <= limits.maxDonorPressure) {
    return 'to-prefill';
  }
  if (-difference >= limits.minDifference && pressure.prefill <= limits.maxDonorPressure) {
    return 'to-decode';
  }
  return undefined;
}

function withDirection(
  state: RoleBalanceState,
  direction: RoleBalanceState['direction'],
  nowMs: number,
): RoleBalanceState {
  return direction === state.direction ? state : { ...state, direction, directionSinceMs: nowMs };
}

function clampTarget(target: number, workerCount: number): number {
  return Math.max(0, Math.min(target, workerCount - 1));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
