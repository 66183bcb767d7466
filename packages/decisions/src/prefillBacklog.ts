/**
 * Tracks the prompts that an engine computes or has queued, to predict how long the next one waits. An
 * engine computes one prompt at a time, so a prompt waits for all those before it. Times are monotonic.
 */
import { createRunningEstimate } from './runningEstimate';

export interface PrefillBacklogOptions {
  /** Assumed until the first prompt has been computed. */
  initialMsPerToken?: number;
}

export interface PrefillBacklog {
  /** Adds a prompt that the engine is asked to compute. */
  begin(attemptId: string, uncachedTokens: number, nowMs: number): void;
  /** Removes a prompt that has been computed, and learns from its duration. */
  finish(attemptId: string, nowMs: number): void;
  /** Removes a prompt that was cancelled or failed; unknown attempts are ignored. */
  drop(attemptId: string): void;
  /** Expected wait of a prompt that is added now. */
  waitMs(nowMs: number): number;
  msPerToken(): number;
}

interface PendingPrompt {
  uncachedTokens: number;
  tokensAhead: number;
  enqueuedAtMs: number;
}

/** Smaller samples measure the round trip and the current step rather than the computation. */
const minimumSampleTokens = 512;

export function createPrefillBacklog(options: PrefillBacklogOptions = {}): PrefillBacklog {
  const { initialMsPerToken = 0.1 } = options;
  const pending = new Map<string, PendingPrompt>();
  const msPerToken = createRunningEstimate({ initialMean: initialMsPerToken });
  /** When the engine began to compute the first pending prompt. */
  let headStartedAtMs = 0;

  const pendingTokens = () =>
    [...pending.values()].reduce((total, { uncachedTokens }) => total + uncachedTokens, 0);

  function begin(attemptId: string, uncachedTokens: number, nowMs: number): void {
    if (pending.size === 0) {
      headStartedAtMs = nowMs;
    }
    pending.set(attemptId, { uncachedTokens, tokensAhead: pendingTokens(), enqueuedAtMs: nowMs });
  }

  function finish(attemptId: string, nowMs: number): void {
    const prompt = pending.get(attemptId);
    if (prompt === undefined) {
      return;
    }
    pending.delete(attemptId);
    headStartedAtMs = nowMs;
    const tokens = prompt.tokensAhead + prompt.uncachedTokens;
    if (tokens >= minimumSampleTokens) {
      msPerToken.observe((nowMs - prompt.enqueuedAtMs) / tokens);
    }
  }

  function waitMs(nowMs: number): number {
    const [head] = pending.values();
    if (head === undefined) {
      return 0;
    }
    const doneMs = Math.min(nowMs - headStartedAtMs, head.uncachedTokens * msPerToken.mean());
    return Math.max(0, pendingTokens() * msPerToken.mean() - doneMs);
  }

  return {
    begin,
    finish,
    drop: (attemptId) => {
      pending.delete(attemptId);
    },
    waitMs,
    msPerToken: msPerToken.mean,
  };
}
