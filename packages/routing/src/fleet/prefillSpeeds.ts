/** Speeds of the prefill engines: learns from the prompts of this router, and knows those that are late at present. */
import { relativeSpeed, withPendingPrompts, type PendingPrompt } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { ServerSpeeds } from './speedExchange';

export interface StartedPrompt {
  /** Prompt tokens ahead of it. */
  backlogTokens: number;
  promptTokens: number;
  expectedMs: number;
}

/** How a prefill ended; a failed one tells nothing of the engine's speed. */
export type PromptResult = 'done' | 'timed-out' | 'failed';

export interface PrefillSpeeds {
  /** Speed relative to a typical engine, as learned from prompts that have ended. */
  learned(serverId: string): number;
  /** The same, lowered if a prompt in progress there is late. */
  current(serverId: string): number;
  /** Counts a prompt as in progress until the result is called, once. */
  begin(serverId: string, prompt: StartedPrompt): (result: PromptResult) => void;
}

/** The time of a shorter prompt is mostly that of the call itself, so it says little about the engine. */
const minSampleMs = 30;

export function createPrefillSpeeds(speeds: ServerSpeeds): PrefillSpeeds {
  /** Prompts in progress by engine; an engine without any has no entry. */
  const pending = new Map<string, Set<PendingPrompt>>();

  function learned(serverId: string): number {
    return relativeSpeed(speeds.estimate(serverId), speeds.typical());
  }

  function drop(serverId: string, prompt: PendingPrompt): void {
    const prompts = pending.get(serverId);
    prompts?.delete(prompt);
    if (prompts?.size === 0) {
      pending.delete(serverId);
    }
  }

  /**
   * A prompt without others ahead shows the engine's speed. With others ahead, part of which is done already, or after a
   * time-out, it only shows that the engine is at most this fast.
   */
  function learn(serverId: string, prompt: StartedPrompt, tookMs: number, isDone: boolean): void {
    if (prompt.expectedMs < minSampleMs) {
      return;
    }
    const tokensPerMs = (prompt.backlogTokens + prompt.promptTokens) / tookMs;
    const isExact = isDone && prompt.backlogTokens === 0;
    const known = speeds.estimate(serverId) ?? speeds.typical();
    if (isExact || (known !== undefined && tokensPerMs < known)) {
      speeds.observe(serverId, tokensPerMs);
    }
  }

  return {
    learned,
    current: (serverId) =>
      withPendingPrompts(learned(serverId), pending.get(serverId) ?? [], monotonicNowMs()),
    begin(serverId, prompt) {
      const startedAtMs = monotonicNowMs();
      const { expectedMs } = prompt;
      const started = { startedAtMs, expectedMs };
      pending.set(serverId, (pending.get(serverId) ?? new Set()).add(started));
      return (result) => {
        drop(serverId, started);
        const tookMs = monotonicNowMs() - startedAtMs;
        if (result !== 'failed' && tookMs > 0) {
          learn(serverId, prompt, tookMs, result === 'done');
        }
      };
    },
  };
}
