/**
 * What this process believes of the engines' memory and queues: their last reports, corrected by what it
 * has placed and freed itself since the report was made.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { EngineLoad } from './backendApi';

export interface EngineLoads {
  report(serverId: string, load: EngineLoad): void;
  /** The engine did not answer; it is silent until its next report. */
  noteSilent(serverId: string): void;
  isSilent(serverId: string): boolean;
  /** Memory set aside on a decode engine; call the result when it is free again. */
  place(serverId: string, tokens: number): () => void;
  /** A prompt on its way through a prefill engine; call the result when it is read. */
  beginPrefill(serverId: string, tokens: number): () => void;
  /** A decode engine reads a prompt itself; call the result when its first event is there. */
  beginOwnPrompt(serverId: string): () => void;
  ownPrompts(serverId: string): number;
  /** The engine has just refused this many tokens. */
  noteFull(serverId: string, tokens: number): void;
  /** Memory that should be free; `capacityTokens` stands where there is no report. */
  freeTokens(serverId: string, capacityTokens: number): number;
  /** Prompt tokens before a new prompt's turn. */
  prefillBacklogTokens(serverId: string): number;
  load(serverId: string): EngineLoad | undefined;
  forget(serverId: string): void;
}

interface Change {
  tokens: number;
  atMs: number;
}

interface EngineState {
  load?: EngineLoad;
  reportedAtMs: number;
  isSilent: boolean;
  /** Prompts that a decode engine reads itself. */
  ownPrompts: number;
  placedTokens: number;
  prefillTokens: number;
  /** Own changes that the last report may not show. */
  changes: Change[];
  full?: { tokens: number; untilMs: number };
}

/** Reports tell the state of some hundred milliseconds ago. */
const reportAgeMs = 700;
/** Reports older than this are worth less than what we placed ourselves. */
const reportLifetimeMs = 5_000;
/** A refusal counts until some stream may have ended since. */
const fullMs = 60;
/** Part of a prompt that waits at an engine by its report: others' prompts are about like ours. */
const reportedPromptTokens = 5_000;

export function createEngineLoads(): EngineLoads {
  const engines = new Map<string, EngineState>();

  function stateOf(serverId: string): EngineState {
    const known = engines.get(serverId);
    if (known !== undefined) {
      return known;
    }
    const state = {
      reportedAtMs: -Infinity,
      isSilent: false,
      ownPrompts: 0,
      placedTokens: 0,
      prefillTokens: 0,
      changes: [],
    };
    engines.set(serverId, state);
    return state;
  }

  function change(state: EngineState, tokens: number): void {
    const atMs = monotonicNowMs();
    state.placedTokens += tokens;
    state.changes.push({ tokens, atMs });
    const oldestMs = Math.min(state.reportedAtMs - reportAgeMs, atMs - reportAgeMs);
    state.changes = state.changes.filter((one) => one.atMs > oldestMs);
  }

  function usedTokens(state: EngineState): number {
    const { load, reportedAtMs } = state;
    if (load === undefined || monotonicNowMs() - reportedAtMs > reportLifetimeMs) {
      return state.placedTokens;
    }
    const unseen = state.changes
      .filter(({ atMs }) => atMs > reportedAtMs - reportAgeMs)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return Math.max(state.placedTokens, load.usedTokens + load.reservedTokens + unseen);
  }

  return {
    report(serverId, load) {
      const state = stateOf(serverId);
      state.load = load;
      state.isSilent = false;
      state.reportedAtMs = monotonicNowMs();
    },
    noteSilent(serverId) {
      stateOf(serverId).isSilent = true;
    },
    isSilent: (serverId) => engines.get(serverId)?.isSilent ?? false,
    place(serverId, tokens) {
      const state = stateOf(serverId);
      change(state, tokens);
      return once(() => change(state, -tokens));
    },
    beginPrefill(serverId, tokens) {
      const state = stateOf(serverId);
      state.prefillTokens += tokens;
      return once(() => {
        state.prefillTokens -= tokens;
      });
    },
    beginOwnPrompt(serverId) {
      const state = stateOf(serverId);
      state.ownPrompts += 1;
      return once(() => {
        state.ownPrompts -= 1;
      });
    },
    ownPrompts: (serverId) => engines.get(serverId)?.ownPrompts ?? 0,
    noteFull(serverId, tokens) {
      stateOf(serverId).full = { tokens, untilMs: monotonicNowMs() + fullMs };
    },
    freeTokens(serverId, capacityTokens) {
      const state = stateOf(serverId);
      const free = (state.load?.totalTokens ?? capacityTokens) - usedTokens(state);
      const isFull = state.full !== undefined && state.full.untilMs > monotonicNowMs();
      return isFull ? Math.min(free, (state.full?.tokens ?? 0) - 1) : free;
    },
    prefillBacklogTokens(serverId) {
      const { prefillTokens, load } = stateOf(serverId);
      return prefillTokens + (load?.waiting ?? 0) * reportedPromptTokens;
    },
    load: (serverId) => engines.get(serverId)?.load,
    forget: (serverId) => engines.delete(serverId),
  };
}

function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (!isDone) {
      isDone = true;
      action();
    }
  };
}
