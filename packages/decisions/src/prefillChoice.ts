/**
 * Chooses the engine that prefills a prompt. Where all engines are equally fast that is the one with the fewest prompt
 * tokens ahead; where they are not, one of those that are expected to end first.
 */

export interface PrefillEngine {
  serverId: string;
  /** Prompt tokens ahead of a new prompt. */
  backlogTokens: number;
  /** Speed relative to a typical engine, as `relativeSpeed` returns it. */
  relativeSpeed: number;
}

export interface PrefillChoiceOptions {
  promptTokens: number;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** A prompt that an engine was given and has not completed. */
export interface PendingPrompt {
  startedAtMs: number;
  expectedMs: number;
}

/**
 * Differences within this ratio are not told apart from those of single samples: such engines count as equally fast,
 * so that noise does not override the order by waiting tokens.
 */
const evenRatio = 1.25;
/** An engine that seems faster than this may be answering without having read the prompts. */
const maxRelativeSpeed = 3;
const minRelativeSpeed = 1 / 16;
/**
 * Engines that are expected to end within this share of the earliest are chosen among at random. Routers that decide at
 * the same moment do not know of each other's prompts, and would otherwise all choose the same engine.
 */
const nearTieShare = 0.15;
/** A prompt that takes this many times its expected time, and the margin, shows that its engine is slow now. */
const lateRatio = 1.5;
const lateMarginMs = 50;

/** An engine without an estimate counts as a typical one, which also gives it its next sample. */
export function relativeSpeed(estimate: number | undefined, typical: number | undefined): number {
  if (estimate === undefined || typical === undefined || !(estimate > 0) || !(typical > 0)) {
    return 1;
  }
  const ratio = estimate / typical;
  return ratio < evenRatio && ratio > 1 / evenRatio ? 1 : limitSpeed(ratio);
}

/** Lowers the speed to what the engine's late prompts in progress allow. */
export function withPendingPrompts(
  speed: number,
  pending: Iterable<PendingPrompt>,
  nowMs: number,
): number {
  return [...pending].reduce((lowest, { startedAtMs, expectedMs }) => {
    const elapsedMs = nowMs - startedAtMs;
    const isLate = elapsedMs > expectedMs * lateRatio + lateMarginMs;
    return isLate ? Math.min(lowest, limitSpeed((speed * expectedMs) / elapsedMs)) : lowest;
  }, speed);
}

export function choosePrefillEngine<Engine extends PrefillEngine>(
  engines: readonly Engine[],
  options: PrefillChoiceOptions,
): Engine | undefined {
  const ranked = engines
    .map((engine) => ({ engine, tie: options.random(), end: endOf(engine, options) }))
    .sort((left, right) => left.end - right.end || left.tie - right.tie);
  const [first] = ranked;
  if (first === undefined || areEven(engines)) {
    return first?.engine;
  }
  return ranked
    .filter(({ end }) => end <= first.end * (1 + nearTieShare))
    .reduce((chosen, one) => (one.tie < chosen.tie ? one : chosen)).engine;
}

/** Whether the engines are equally fast, as far as is known. */
export function areEven(engines: readonly PrefillEngine[]): boolean {
  return engines.every((engine) => engine.relativeSpeed === engines[0]?.relativeSpeed);
}

/** Expected end in tokens of a typical engine. */
function endOf(engine: PrefillEngine, { promptTokens }: PrefillChoiceOptions): number {
  return (engine.backlogTokens + promptTokens) / engine.relativeSpeed;
}

function limitSpeed(speed: number): number {
  return Math.min(maxRelativeSpeed, Math.max(minRelativeSpeed, speed));
}
