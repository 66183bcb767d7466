/**
 * What this process believes of the engines' memory and queues: what it and its peers have in progress there,
 * and the engines' own reports for whatever those do not explain.
 */
import { createMemoryForecast, type MemoryForecast } from '@bluebellhitch/decisions';
import type { PeerEngineUse, StreamOutlook } from '@bluebellhitch/protocol';
import { monotonicNowMs, runOnce } from '@bluebellhitch/shared';
import type { EngineLoad } from './backendApi';
import { initialLengthShape, initialTokensPerMs } from './streamSizes';

export interface EngineLoads {
  report(serverId: string, load: EngineLoad): void;
  /** The engine did not answer; it is silent until its next report. */
  noteSilent(serverId: string): void;
  /** The engine has just answered a call. */
  noteContact(serverId: string): void;
  /** It answered neither its last report, to whoever asked for it, nor us a moment ago. */
  isSilent(serverId: string): boolean;
  /** A stream that takes memory on a decode engine from now on, though its prompt may still be read elsewhere. */
  place(serverId: string, stream: StreamOutlook): PlacedStream;
  /** A prompt on its way through a prefill engine; call the result when it is read. */
  beginPrefill(serverId: string, tokens: number): () => void;
  /** A decode engine reads a prompt itself; call the result when its first event is there. */
  beginOwnPrompt(serverId: string): () => void;
  /** Of all routers that are known. */
  ownPrompts(serverId: string): number;
  /** The engine has just refused this many tokens. */
  noteFull(serverId: string, tokens: number): void;
  /** Of the memory there; `capacityTokens` stands where there is no report. */
  forecast(serverId: string, capacityTokens: number): MemoryForecast;
  /** Whether it has just refused this much or less. */
  isFullFor(serverId: string, tokens: number): boolean;
  /** Prompt tokens before a new prompt's turn. */
  prefillBacklogTokens(serverId: string): number;
  forget(serverId: string): void;
  /** What this process itself has in progress. */
  ownUse(): PeerEngineUse[];
  /** Takes what a peer has in progress; `isFull` replaces all that was known of it. */
  setPeerUse(peerAddress: string, engines: readonly PeerEngineUse[], isFull: boolean): void;
  dropPeer(peerAddress: string): void;
}

export interface PlacedStream {
  /** Of its whole output. */
  noteEmitted(tokens: number): void;
  /** Its memory is free again. */
  release(): void;
}

export interface EngineLoadsOptions {
  /** Told whenever `ownUse` has changed at an engine. */
  onOwnChange?: (serverId: string) => void;
  /** Whether the engine is listed: what peers say of others is not kept, or it would be kept for ever. */
  isListed?: (serverId: string) => boolean;
  /** At which an engine's streams emit: what peers said of theirs grows at this pace. */
  tokensPerMs?: () => number;
  /** Of the lengths of streams; see `survival`. */
  lengthShape?: () => number;
}

interface Change {
  tokens: number;
  atMs: number;
}

type Use = Omit<PeerEngineUse, 'serverId'>;
type AmountName = 'prefillTokens' | 'ownPrompts';

interface PeerUse extends Use {
  toldAtMs: number;
}

interface EngineState {
  load?: EngineLoad;
  reportedAtMs: number;
  contactAtMs: number;
  own: Omit<Use, 'streams'>;
  ownStreams: Set<StreamOutlook>;
  peers: Map<string, PeerUse>;
  /** Changes of memory in use that the last report may not show. */
  changes: Change[];
  full?: { tokens: number; untilMs: number };
}

/** Reports tell the state of some hundred milliseconds ago: of this long ago at least, and at most. */
const youngestReportMs = 700;
const oldestReportMs = 1_100;
/** Reports older than this say less than what is known to be placed. */
const reportLifetimeMs = 5_000;
/** An answer to any call proves this long that the engine is there. */
const contactLifetimeMs = 500;
/** A refusal counts until some stream may have ended since. */
const fullMs = 60;
/**
 * Standard deviations of the forecast that stay free besides its mean. A stream that is paused for want of memory comes
 * late and has its prompt read again, which costs more than a stream that waits. In 20 replayed bursts of answers much
 * longer than their prompts 438,000 tokens were read again with this and 4,333 of 6,283 requests served on time, where
 * three quarters of each expected answer were counted 1,362,000 and 4,221. Where prompts are most of the memory, both
 * do alike.
 */
const caution = 2.5;
/** Part of a prompt that waits at an engine by its report: others' prompts are about like ours. */
const reportedPromptTokens = 5_000;

export function createEngineLoads(options: EngineLoadsOptions = {}): EngineLoads {
  const { onOwnChange = () => undefined, isListed = () => true } = options;
  const { tokensPerMs = () => initialTokensPerMs, lengthShape = () => initialLengthShape } =
    options;
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
      own: { prefillTokens: 0, ownPrompts: 0, isSilent: false },
      ownStreams: new Set(),
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
    const oldestMs = Math.min(state.reportedAtMs, atMs) - oldestReportMs;
    state.changes = state.changes.filter((one) => one.atMs > oldestMs);
  }

  /** Adds to one of our own amounts until the result is called. */
  function add(serverId: string, name: AmountName, amount: number): () => void {
    const state = stateOf(serverId);
    const apply = (signed: number) => {
      state.own[name] += signed;
      onOwnChange(serverId);
    };
    apply(amount);
    return runOnce(() => apply(-amount));
  }

  function place(serverId: string, outlook: StreamOutlook): PlacedStream {
    const state = stateOf(serverId);
    const stream = { ...outlook };
    state.ownStreams.add(stream);
    noteChange(state, heldTokens(stream));
    onOwnChange(serverId);
    return {
      noteEmitted(tokens) {
        stream.emittedTokens = Math.max(stream.emittedTokens, tokens);
      },
      release: runOnce(() => {
        state.ownStreams.delete(stream);
        noteChange(state, -heldTokens(stream));
        onOwnChange(serverId);
      }),
    };
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

  /** All streams that are known there; those of peers have grown since they were told. */
  function streamsAt({ ownStreams, peers }: EngineState): StreamOutlook[] {
    const nowMs = monotonicNowMs();
    const told = [...peers.values()].flatMap(({ streams, toldAtMs }) => {
      const grownTokens = tokensPerMs() * (nowMs - toldAtMs);
      return streams.map((stream) => grown(stream, grownTokens));
    });
    return [...ownStreams, ...told];
  }

  /** What the engine reports beyond the streams that are known. */
  function unexplainedTokens(state: EngineState, streams: readonly StreamOutlook[]): number {
    const { load, reportedAtMs } = state;
    if (load === undefined || monotonicNowMs() - reportedAtMs > reportLifetimeMs) {
      return 0;
    }
    const unseen = state.changes
      .filter((change) => isUnseen(change, reportedAtMs))
      .reduce((sum, { tokens }) => sum + tokens, 0);
    const known = streams.reduce((sum, stream) => sum + heldTokens(stream), 0);
    return Math.max(0, load.usedTokens + unseen - known);
  }

  function forecast(serverId: string, capacityTokens: number): MemoryForecast {
    const state = stateOf(serverId);
    const streams = streamsAt(state);
    return createMemoryForecast({
      streams,
      otherTokens: unexplainedTokens(state, streams),
      capacityTokens: state.load?.totalTokens ?? capacityTokens,
      lengthShape: lengthShape(),
      caution,
    });
  }

  function setUse(peerAddress: string, serverId: string, use: Use): void {
    if (!engines.has(serverId) && (isNothing(use) || !isListed(serverId))) {
      return;
    }
    const state = stateOf(serverId);
    const known = state.peers.get(peerAddress) ?? { ...noUse(), toldAtMs: -Infinity };
    noteChange(state, promptsOf(use) - promptsOf(known));
    if (isNothing(use)) {
      state.peers.delete(peerAddress);
    } else {
      state.peers.set(peerAddress, { ...use, toldAtMs: monotonicNowMs() });
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
    place,
    beginPrefill: (serverId, tokens) => add(serverId, 'prefillTokens', tokens),
    beginOwnPrompt: (serverId) => add(serverId, 'ownPrompts', 1),
    ownPrompts: (serverId) => total(stateOf(serverId), 'ownPrompts'),
    noteFull(serverId, tokens) {
      stateOf(serverId).full = { tokens, untilMs: monotonicNowMs() + fullMs };
    },
    forecast,
    isFullFor(serverId, tokens) {
      const full = engines.get(serverId)?.full;
      return full !== undefined && full.untilMs > monotonicNowMs() && tokens >= full.tokens;
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
        .map(([serverId, { own, ownStreams }]) => ({ serverId, ...own, streams: [...ownStreams] }))
        .filter((use) => !isNothing(use)),
    setPeerUse,
    dropPeer(peerAddress) {
      peerAddresses.delete(peerAddress);
      [...engines.keys()].forEach((serverId) => setUse(peerAddress, serverId, noUse()));
    },
  };
}

/** Of a change that the report may show or not, the case is taken in which less is left unexplained. */
function isUnseen({ tokens, atMs }: Change, reportedAtMs: number): boolean {
  return atMs > reportedAtMs - (tokens < 0 ? oldestReportMs : youngestReportMs);
}

function noUse(): Use {
  return { streams: [], prefillTokens: 0, ownPrompts: 0, isSilent: false };
}

/** What is told of these engines: those that are not in use, too. */
export function usesAt(
  used: readonly PeerEngineUse[],
  serverIds: readonly string[],
): PeerEngineUse[] {
  const known = new Map(used.map((use) => [use.serverId, use]));
  return serverIds.map((serverId) => known.get(serverId) ?? { serverId, ...noUse() });
}

function isNothing({ streams, prefillTokens, ownPrompts, isSilent }: Use): boolean {
  return streams.length === 0 && prefillTokens === 0 && ownPrompts === 0 && !isSilent;
}

function heldTokens({ promptTokens, emittedTokens }: StreamOutlook): number {
  return promptTokens + emittedTokens;
}

/** Few streams outlive twice their median; one that seems to is more likely paused than that long. */
const mostGrowth = 2;

function grown(stream: StreamOutlook, tokens: number): StreamOutlook {
  const { emittedTokens, medianOutputTokens } = stream;
  const most = Math.max(emittedTokens, mostGrowth * medianOutputTokens);
  return { ...stream, emittedTokens: Math.min(emittedTokens + tokens, most) };
}

function promptsOf({ streams }: Use): number {
  return streams.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
}
