/**
 * Prompts that an engine computes or will compute, for the wait of the next one. An engine computes one
 * prompt at a time, so that a prompt waits for all that came before it. Times are monotonic.
 */
import { createRunningEstimate } from './runningEstimate';

export interface PrefillBacklogOptions {
  /** Assumed until a prompt has been computed. */
  initialMsPerToken?: number;
}

export interface PrefillBacklog {
  begin(attemptId: string, uncachedTokens: number, nowMs: number): void;
  /** The prompt is computed. */
  finish(attemptId: string, nowMs: number): void;
  /** The prompt was cancelled or failed; unknown attempts are ignored. */
  drop(attemptId: string): void;
  /** Expected wait of a prompt that joins now. */
  waitMs(nowMs: number): number;
  msPerToken(): number;
}

interface Entry {
  uncachedTokens: number;
  tokensAhead: number;
  begunAtMs: number;
}

/** Shorter work measures the round trip and the running step rather than the computation. */
const minimumSampleTokens = 512;

export function createPrefillBacklog(options: PrefillBacklogOptions = {}): PrefillBacklog {
  const { initialMsPerToken = 0.1 } = options;
  const entries = new Map<string, Entry>();
  const rate = createRunningEstimate({ initialMean: initialMsPerToken });
  /** When the first entry's turn came. */
  let turnAtMs = 0;

  const pendingTokens = () =>
    [...entries.values()].reduce((total, { uncachedTokens }) => total + uncachedTokens, 0);

  function begin(attemptId: string, uncachedTokens: number, nowMs: number): void {
    if (entries.size === 0) {
      turnAtMs = nowMs;
    }
    entries.set(attemptId, { uncachedTokens, tokensAhead: pendingTokens(), begunAtMs: nowMs });
  }

  function finish(attemptId: string, nowMs: number): void {
    const entry = entries.get(attemptId);
    if (entry === undefined) {
      return;
    }
    entries.delete(attemptId);
    turnAtMs = nowMs;
    const tokens = entry.tokensAhead + entry.uncachedTokens;
    if (tokens >= minimumSampleTokens) {
      rate.observe((nowMs - entry.begunAtMs) / tokens);
    }
  }

  function waitMs(nowMs: number): number {
    const [first] = entries.values();
    if (first === undefined) {
      return 0;
    }
    const doneMs = Math.min(nowMs - turnAtMs, first.uncachedTokens * rate.mean());
    return Math.max(0, pendingTokens() * rate.mean() - doneMs);
  }

  return {
    begin,
    finish,
    drop: (attemptId) => {
      entries.delete(attemptId);
    },
    waitMs,
    msPerToken: rate.mean,
  };
}
