/**
 * What this process believes of the engines' memory and queues: what it and its peers have in progress there,
 * and the engines' own reports for whatever those do not explain.
 */
import type { PeerEngineUse } from '@bluebellhitch/protocol';
import { monotonicNowMs, runOnce } from '@bluebellhitch/shared';
import type { EngineLoad } from './backendApi';

export interface EngineLoads {
  report(serverId: string, load: EngineLoad): void;
  /** The engine did not answer; it is silent until its next report. */
  noteSilent(serverId: string): void;
  /** The engine has just answered a call. */
  noteContact(serverId: string): void;
  /** It answered neither its last report, to whoever asked for it, nor us a moment ago. */
  isSilent(serverId: string): boolean;
  /** Memory set aside on a decode engine; call the result when it is free again. */
  place(serverId: string, tokens: number): () => void;
  /** A prompt on its way through a prefill engine; call the result when it is read. */
  beginPrefill(serverId: string, tokens: number): () => void;
  /** A decode engine reads a prompt itself; call the result when its first event is there. */
  beginOwnPrompt(serverId: string): () => void;
  /** Of all routers that are known. */
  ownPrompts(serverId: string): number;
  /** The engine has just refused this many tokens. */
  noteFull(serverId: string, tokens: number): void;
  /** Memory that should be free; `capacityTokens` stands where there is no report. */
  freeTokens(serverId: string, capacityTokens: number): number;
  /** Prompt tokens before a new prompt's turn. */
  prefillBacklogTokens(serverId: string): number;
  forget(serverId: string): void;
  /** What this process itself has in progress. */
  ownUse(): PeerEngineUse[];
  /** Takes what a peer has in progress; `isFull` replaces all that was known of it. */
  setPeerUse(peerAddress: string, engines: readonly PeerEngineUse[], isFull: boolean): void;
  dropPeer(peerAddress: string): void;
}

export interface EngineLoadsOptions {
  /** Told whenever `ownUse` has changed at an engine. */
  onOwnChange?: (serverId: string) => void;
  /** Whether the engine is listed: what peers say of others is not kept, or it would be kept for ever. */
  isListed?: (serverId: string) => boolean;
}

interface Change {
  tokens: number;
  atMs: number;
}

type Use = Omit<PeerEngineUse, 'serverId'>;
type AmountName = 'placedTokens' | 'prefillTokens' | 'ownPrompts';

interface EngineState {
  load?: EngineLoad;
  reportedAtMs: number;
  contactAtMs: number;
  own: Use;
  peers: Map<string, Use>;
  /** Changes of placed memory that the last report may not show. */
  changes: Change[];
  full?: { tokens: number; untilMs: number };
}

/** Reports tell the state of some hundred milliseconds ago. */
const reportAgeMs = 700;
/** Reports older than this say less than what is known to be placed. */
const reportLifetimeMs = 5_000;
/** An answer to any call proves this long that the engine is there. */
const contactLifetimeMs = 500;
/** A refusal counts until some stream may have ended since. */
const fullMs = 60;
/** Part of a prompt that waits at an engine by its report: others' prompts are about like ours. */
const reportedPromptTokens = 5_000;

export function createEngineLoads(options: EngineLoadsOptions = {}): EngineLoads {
  const { onOwnChange = () => undefined, isListed = () => true } = options;
  const engines = new Map<string, EngineState>();
  const peerAddresses = new Set<string>();

  function stateOf(serverId: string): EngineState {
    const known = engines.get(serverId);
    if (known !== undefined) {
      return known;
    }
    const state: EngineState = {
      reportedAtMs: -Infinity,
      contactAtMs: -Infinity,
      own: noUse(),
      peers: new Map(),
      changes: [],
    };
    engines.set(serverId, state);
    return state;
  }

  function noteChange(state: EngineState, tokens: number): void {
    if (tokens === 0) {
      return;
    }
    const atMs = monotonicNowMs();
    state.changes.push({ tokens, atMs });
    const oldestMs = Math.min(state.reportedAtMs, atMs) - reportAgeMs;
    state.changes = state.changes.filter((one) => one.atMs > oldestMs);
  }

  /** Adds to one of our own amounts until the result is called. */
  function add(serverId: string, name: AmountName, amount: number): () => void {
    const state = stateOf(serverId);
    const apply = (signed: number) => {
      state.own[name] += signed;
      if (name === 'placedTokens') {
        noteChange(state, signed);
      }
      onOwnChange(serverId);
    };
    apply(amount);
    return runOnce(() => apply(-amount));
  }

  function setSilent(serverId: string, state: EngineState, isSilent: boolean): void {
    if (state.own.isSilent !== isSilent) {
      state.own.isSilent = isSilent;
      onOwnChange(serverId);
    }
  }

  function total(state: EngineState, name: AmountName): number {
    return [...state.peers.values()].reduce((sum, peer) => sum + peer[name], state.own[name]);
  }

  function usedTokens(state: EngineState): number {
    const { load, reportedAtMs } = state;
    const placedTokens = total(state, 'placedTokens');
    if (load === undefined || monotonicNowMs() - reportedAtMs > reportLifetimeMs) {
      return placedTokens;
    }
    const unseen = state.changes
      .filter(({ atMs }) => atMs > reportedAtMs - reportAgeMs)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    return Math.max(placedTokens, load.usedTokens + load.reservedTokens + unseen);
  }

  function setUse(peerAddress: string, serverId: string, use: Use): void {
    if (!engines.has(serverId) && (isNothing(use) || !isListed(serverId))) {
      return;
    }
    const state = stateOf(serverId);
    const known = state.peers.get(peerAddress) ?? noUse();
    noteChange(state, use.placedTokens - known.placedTokens);
    if (isNothing(use)) {
      state.peers.delete(peerAddress);
    } else {
      state.peers.set(peerAddress, use);
    }
  }

  function setPeerUse(peerAddress: string, used: readonly PeerEngineUse[], isFull: boolean): void {
    peerAddresses.add(peerAddress);
    used.forEach(({ serverId, ...use }) => setUse(peerAddress, serverId, use));
    if (isFull) {
      const named = new Set(used.map(({ serverId }) => serverId));
      [...engines.keys()]
        .filter((serverId) => !named.has(serverId))
        .forEach((serverId) => setUse(peerAddress, serverId, noUse()));
    }
  }

  return {
    report(serverId, load) {
      const state = stateOf(serverId);
      state.load = load;
      state.reportedAtMs = monotonicNowMs();
      setSilent(serverId, state, false);
    },
    noteSilent: (serverId) => setSilent(serverId, stateOf(serverId), true),
    noteContact(serverId) {
      stateOf(serverId).contactAtMs = monotonicNowMs();
    },
    isSilent(serverId) {
      const state = engines.get(serverId);
      if (state === undefined || monotonicNowMs() - state.contactAtMs < contactLifetimeMs) {
        return false;
      }
      return state.own.isSilent || [...state.peers.values()].some(({ isSilent }) => isSilent);
    },
    place: (serverId, tokens) => add(serverId, 'placedTokens', tokens),
    beginPrefill: (serverId, tokens) => add(serverId, 'prefillTokens', tokens),
    beginOwnPrompt: (serverId) => add(serverId, 'ownPrompts', 1),
    ownPrompts: (serverId) => total(stateOf(serverId), 'ownPrompts'),
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
      const state = stateOf(serverId);
      // Peers say what they have in progress within milliseconds; a report is a second behind.
      const reported = peerAddresses.size > 0 ? 0 : (state.load?.waiting ?? 0);
      return total(state, 'prefillTokens') + reported * reportedPromptTokens;
    },
    forget: (serverId) => engines.delete(serverId),
    ownUse: () =>
      [...engines]
        .filter(([, { own }]) => !isNothing(own))
        .map(([serverId, { own }]) => ({ serverId, ...own })),
    setPeerUse,
    dropPeer(peerAddress) {
      peerAddresses.delete(peerAddress);
      [...engines.keys()].forEach((serverId) => setUse(peerAddress, serverId, noUse()));
    },
  };
}

function noUse(): Use {
  return { placedTokens: 0, prefillTokens: 0, ownPrompts: 0, isSilent: false };
}

function isNothing({ placedTokens, prefillTokens, ownPrompts, isSilent }: Use): boolean {
  return placedTokens === 0 && prefillTokens === 0 && ownPrompts === 0 && !isSilent;
}
