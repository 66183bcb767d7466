/**
 * Chooses the engine that prefills a prompt. Where all engines are equally fast that is the one with the fewest prompt
 * tokens ahead; where they are not, one of those that are expected to end first.
 */

export interface PrefillEngine {
  serverId: string;
  /** Prompt tokens ahead of a new prompt. */
  backlogTokens: number;
  /** Speed as a ratio to a typical engine's, as `relativeSpeed` returns it. */
  learnedSpeed: number;
  /** The same, lowered by late prompts as `withPendingPrompts` returns it. */
  currentSpeed: number;
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
 * Differences within this ratio also arise from a few prompts that waited for others not yet heard of. Such engines
 * count as equally fast, so that noise does not override the order by waiting tokens.
 */
const evenRatio = 1.4;
/** An engine that seems faster than this may be answering without having read the prompts. */
const maxRelativeSpeed = 3;
const minRelativeSpeed = 1 / 16;
/**
 * Share of the engines, by expected end, from which two are drawn. Routers that decide at the same moment do not know of
 * each other's prompts, and must not all choose the same engine.
 */
const drawnShare = 0.5;
/** Engines that take longer than this many times the earliest end are not drawn. */
const maxEndRatio = 2;
/** A prompt later than this, and the margin, is not explained by another that was sent at the same moment. */
const lateRatio = 2;
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
  const drawnCount = Math.max(2, Math.ceil(ranked.length * drawnShare));
  const eligible = ranked.slice(0, drawnCount).filter(({ end }) => end <= first.end * maxEndRatio);
  // The lower rank ends earlier.
  const draw = () => Math.floor(options.random() * eligible.length);
  return eligible[Math.min(draw(), draw())]?.engine;
}

/** Whether the engines are equally fast, as learned; one that is slow for a moment makes no difference. */
export function areEven(engines: readonly PrefillEngine[]): boolean {
  return engines.every((engine) => engine.learnedSpeed === engines[0]?.learnedSpeed);
}

/** Expected end in tokens of a typical engine. */
function endOf(engine: PrefillEngine, { promptTokens }: PrefillChoiceOptions): number {
  return (engine.backlogTokens + promptTokens) / engine.currentSpeed;
}

function limitSpeed(speed: number): number {
  return Math.min(maxRelativeSpeed, Math.max(minRelativeSpeed, speed));
}
