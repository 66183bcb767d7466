/**
 * Load shedding under overload: first speculative work, then the lowest class, then new requests that
 * are unlikely to meet their deadline. The level rises at once with the pressure and falls one step at a
 * time after a calm period, so that recovery does not oscillate.
 */

export const overloadLevels = {
  normal: 0,
  /** Sheds speculative work. */
  noSpeculation: 1,
  /** Also sheds the lowest class. */
  noLowestClass: 2,
  /** Also sheds new requests that are unlikely to meet their targets. */
  onlyFeasible: 3,
} as const;
export type OverloadLevel = (typeof overloadLevels)[keyof typeof overloadLevels];

export interface OverloadOptions {
  /** Pressure at which levels 1, 2 and 3 are entered. At 1, waits use up the whole latency target. */
  enterAt?: readonly [number, number, number];
  /** A level is left when the pressure is below this part of its entry bound. */
  leaveShare?: number;
  /** Time below that bound before the level falls by one. */
  calmMs?: number;
  /** Time constant of the moving average of the pressure. */
  windowMs?: number;
  /** Level 3 sheds requests with a lower probability of meeting both targets. */
  minProbability?: number;
}

export interface SheddableRequest {
  /** Work that no caller waits for yet. */
  speculative: boolean;
  /** Priority of its class, 0 the most urgent. */
  priority: number;
  /** Largest (least urgent) priority among the service's classes. */
  lowestPriority: number;
  /** Smallest priority. A service with a single class has no lowest one to shed. */
  highestPriority: number;
  /** Probability of meeting both targets, if already known. */
  probability?: number;
}

export type ShedDecision =
  | { kind: 'admit' }
  | {
      kind: 'shed';
      cause: 'speculative' | 'lowest-class' | 'hopeless';
      level: OverloadLevel;
      retryAfterMs: number;
    };

export interface OverloadController {
  /** Adds a sample: predicted wait divided by the latency target, of a request or bid. */
  observe(pressure: number, nowMs: number): void;
  level(nowMs: number): OverloadLevel;
  decide(request: SheddableRequest, nowMs: number): ShedDecision;
}

export function createOverloadController(options: OverloadOptions = {}): OverloadController {
  const {
    enterAt = [0.6, 1, 1.5],
    leaveShare = 0.7,
    calmMs = 1_000,
    windowMs = 500,
    minProbability = 0.5,
  } = options;
  let level: OverloadLevel = overloadLevels.normal;
  let lastHighAtMs = -Infinity;
  let observedAtMs = -Infinity;
  /** Sum and count of samples, both decaying with time: after a long gap the next sample dominates. */
  let sampleSum = 0;
  let sampleCount = 0;

  function levelFor(value: number): OverloadLevel {
    return enterAt.filter((bound) => value >= bound).length as OverloadLevel;
  }

  function observe(sample: number, nowMs: number): void {
    const decay = Math.exp(-Math.max(0, nowMs - observedAtMs) / windowMs);
    sampleSum = sampleSum * decay + sample;
    sampleCount = sampleCount * decay + 1;
    observedAtMs = nowMs;
    const pressure = sampleSum / sampleCount;
    const target = levelFor(pressure);
    if (target > level) {
      level = target;
    }
    if (pressure >= leaveShare * (enterAt[level - 1] ?? Infinity)) {
      lastHighAtMs = nowMs;
    }
  }

  /** The level falls by one for each calm period, also while nothing is observed. */
  function currentLevel(nowMs: number): OverloadLevel {
    if (level > 0 && nowMs - lastHighAtMs >= calmMs) {
      level = (level - 1) as OverloadLevel;
      lastHighAtMs = nowMs;
    }
    return level;
  }

  function causeOf(request: SheddableRequest, current: OverloadLevel) {
    const { speculative, priority, lowestPriority, highestPriority, probability } = request;
    const isLowest = priority === lowestPriority && lowestPriority !== highestPriority;
    if (current >= overloadLevels.noSpeculation && speculative) {
      return 'speculative';
    }
    if (current >= overloadLevels.noLowestClass && isLowest) {
      return 'lowest-class';
    }
    const hopeless = probability !== undefined && probability < minProbability;
    return current >= overloadLevels.onlyFeasible && hopeless ? 'hopeless' : undefined;
  }

  function decide(request: SheddableRequest, nowMs: number): ShedDecision {
    const current = currentLevel(nowMs);
    const cause = causeOf(request, current);
    return cause === undefined
      ? { kind: 'admit' }
      : { kind: 'shed', cause, level: current, retryAfterMs: calmMs * current };
  }

  return { observe, level: currentLevel, decide };
}
