/**
 * Brown-out order under overload: speculative work goes first, then the lowest class, then the newest
 * requests that will hardly meet their deadline. The level rises at once with the pressure and falls
 * one step at a time after a calm period, so that recovery does not oscillate.
 */

export const overloadLevels = {
  normal: 0,
  /** Sheds speculative work. */
  noSpeculation: 1,
  /** Also sheds the lowest class. */
  noLowestClass: 2,
  /** Also sheds new requests that will hardly meet their targets. */
  onlyHopeful: 3,
} as const;
export type OverloadLevel = (typeof overloadLevels)[keyof typeof overloadLevels];

export interface OverloadOptions {
  /** Pressure from which levels 1, 2 and 3 hold. 1 means: waits use up the latency target. */
  enterAt?: readonly [number, number, number];
  /** A level is left below this part of the pressure at which it was entered. */
  leaveShare?: number;
  /** Time below it before the level falls by one. */
  calmMs?: number;
  /** The pressure is the mean of samples of about this long. */
  windowMs?: number;
  /** Probability of meeting both targets that level 3 asks for. */
  hopefulProbability?: number;
}

export interface SheddableRequest {
  /** Work that nobody waits for yet. */
  speculative: boolean;
  /** Priority of its class, 0 the most urgent. */
  priority: number;
  /** Largest (least urgent) priority among the service's classes. */
  lowestPriority: number;
  /** Smallest priority; a service with one class has no lowest one to shed. */
  highestPriority: number;
  /** Of meeting both targets, where it is known already. */
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
  /** Predicted wait over the latency target, of each request or bid. */
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
    hopefulProbability = 0.5,
  } = options;
  let level: OverloadLevel = overloadLevels.normal;
  let restlessAtMs = -Infinity;
  let observedAtMs = -Infinity;
  /** Sum and count of samples, both fading with time: after a silence the next sample decides. */
  let sampleSum = 0;
  let sampleCount = 0;

  function levelFor(value: number): OverloadLevel {
    return enterAt.filter((bound) => value >= bound).length as OverloadLevel;
  }

  function observe(sample: number, nowMs: number): void {
    const fading = Math.exp(-Math.max(0, nowMs - observedAtMs) / windowMs);
    sampleSum = sampleSum * fading + sample;
    sampleCount = sampleCount * fading + 1;
    observedAtMs = nowMs;
    const pressure = sampleSum / sampleCount;
    const target = levelFor(pressure);
    if (target > level) {
      level = target;
    }
    if (pressure >= leaveShare * (enterAt[level - 1] ?? Infinity)) {
      restlessAtMs = nowMs;
    }
  }

  /** Falls by one level per calm period, also while nothing is observed. */
  function currentLevel(nowMs: number): OverloadLevel {
    if (level > 0 && nowMs - restlessAtMs >= calmMs) {
      level = (level - 1) as OverloadLevel;
      restlessAtMs = nowMs;
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
    const hopeless = probability !== undefined && probability < hopefulProbability;
    return current >= overloadLevels.onlyHopeful && hopeless ? 'hopeless' : undefined;
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
