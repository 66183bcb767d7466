/**
 * Estimates the memory and queues of the engines from the work that this router and its peers have in progress there.
 * Load reports of the engines account for the rest.
 */
import { createMemoryForecast, type MemoryForecast } from '@bluebellhitch/decisions';
import type { PeerEngineUse, StreamEstimate } from '@bluebellhitch/protocol';
import { monotonicNowMs, runOnce } from '@bluebellhitch/shared';
import type { EngineLoad } from '../backendApi';
import {
  emptyUse,
  heldTokens,
  isEmptyUse,
  isUnreported,
  maxReportAgeMs,
  promptTokensOf,
  withGrowth,
  type EngineUse,
  type UsageChange,
} from './engineUse';
import { initialLengthShape, initialTokensPerMs } from './streamSizes';
import {
  describeSilence,
  unresponsiveCauses,
  type UnresponsiveCause,
  type UnresponsiveEvidence,
} from './unresponsiveEngines';

export interface EngineLoads {
  report(serverId: string, load: EngineLoad): void;
  /** The engine did not answer; it counts as unresponsive until its next report, or until it is no longer polled. */
  noteUnresponsive(serverId: string, cause: UnresponsiveCause): void;
  /** Another router polls the engine from now on: no report can end this router's sign that it is unresponsive. */
  noteNotPolled(serverId: string): void;
  /** The engine has just answered a call. */
  noteContact(serverId: string): void;
  /** When it last answered a call or a load report of this router; -Infinity if it has not. */
  lastAnswerAtMs(serverId: string): number;
  /** Whether its last load report failed, here or at a peer, and it has not answered a call from here lately. */
  isUnresponsive(serverId: string): boolean;
  /**
   * What this router and its peers have seen; undefined if none of them counts the engine as unresponsive. It may not be
   * for this router, if it has answered a call from here lately.
   */
  unresponsiveEvidence(serverId: string): UnresponsiveEvidence | undefined;
  /** Counts a stream's memory on a decode engine from now on, though its prompt may still be prefilled elsewhere. */
  place(serverId: string, stream: StreamEstimate): PlacedStream;
  /** Counts a prompt that a prefill engine processes; call the result when it is done. */
  beginPrefill(serverId: string, tokens: number): () => void;
  /** Counts a prompt that a decode engine prefills itself; call the result when its first event has arrived. */
  beginLocalPrefill(serverId: string): () => void;
  /** Streams that this router and its peers have on a decode engine, including those not yet started. */
  streamCount(serverId: string): number;
  /** Local prefills in progress on a decode engine, of this router and its peers. */
  localPrefillCount(serverId: string): number;
  /** Whether a local prefill was in progress on a decode engine after this time. */
  hadLocalPrefillSince(serverId: string, sinceMs: number): boolean;
  /** The engine has just rejected a reservation of this many tokens. */
  noteFull(serverId: string, tokens: number): void;
  /** Forecasts the engine's memory; `capacityTokens` is used until the engine has reported its own. */
  forecast(serverId: string, capacityTokens: number): MemoryForecast;
  /** Whether it has recently rejected a reservation of this size or a smaller one. */
  isFullFor(serverId: string, tokens: number): boolean;
  /** Prompt tokens queued ahead of a new prompt. */
  prefillBacklogTokens(serverId: string): number;
  forget(serverId: string): void;
  /** Work that this router has in progress, by engine. */
  ownUse(): PeerEngineUse[];
  /** Stores a peer's work in progress; with `isFull`, engines that are not named are cleared for this peer. */
  setPeerUse(peerAddress: string, engines: readonly PeerEngineUse[], isFull: boolean): void;
  dropPeer(peerAddress: string): void;
}

export interface PlacedStream {
  /** Sets the tokens emitted so far, of the whole output. */
  noteEmitted(tokens: number): void;
  release(): void;
}

export interface EngineLoadsOptions {
  /** Called whenever `ownUse` has changed for an engine. */
  onOwnUseChange?: (serverId: string) => void;
  /** Called when this router itself finds an engine unresponsive that it did not count as such. */
  onUnresponsive?: (serverId: string, cause: UnresponsiveCause) => void;
  /** Called when such an engine has reported its load again. */
  onResponsive?: (serverId: string, unresponsiveMs: number) => void;
  /** Whether the engine is in the directory. Peers' data on other engines is dropped: it would never be removed. */
  isListed?: (serverId: string) => boolean;
  /** Rate at which a stream emits tokens; used to extrapolate peers' streams since they were received. */
  tokensPerMs?: () => number;
  /** Shape of the distribution of output lengths, as used by the memory forecast. */
  lengthShape?: () => number;
}

type CounterName = 'prefillTokens' | 'ownPrompts';

interface PeerUse extends EngineUse {
  receivedAtMs: number;
  /** Since when the peer counts the engine as unresponsive; absent if it does not. */
  silentSinceMs?: number;
}

interface EngineState {
  load?: EngineLoad;
  reportedAtMs: number;
  contactAtMs: number;
  own: Omit<EngineUse, 'streams'>;
  /** Why and since when `own.isSilent` is set; absent if it is not. */
  ownSilence?: { cause: UnresponsiveCause; sinceMs: number };
  ownStreams: Set<StreamEstimate>;
  peers: Map<string, PeerUse>;
  /** When a local prefill last ended, of this router or a peer. */
  localPrefillEndedAtMs: number;
  /** Recent changes of memory use that the last report may not include. */
  changes: UsageChange[];
  lastRejection?: { tokens: number; untilMs: number };
}

/** A report older than this is less accurate than the known placements, and is ignored. */
const reportLifetimeMs = 5_000;
/** After a response to any call an engine counts as responsive for this long. */
const contactLifetimeMs = 500;
/** A rejection is remembered until another stream may have ended. */
const rejectionLifetimeMs = 60;
/**
 * Standard deviations of the memory forecast to keep free above its mean. A stream that an engine pauses for lack of
 * memory is late and has its prompt prefilled again, which costs more than letting a stream wait. In 20 replayed bursts
 * with responses much longer than their prompts, 438,000 tokens were prefilled again with this margin and 4,333 of
 * 6,283 requests served on time; counting three quarters of each expected response instead gave 1,362,000 and 4,221.
 * Where prompts take most of the memory, both perform alike.
 */
const marginDeviations = 2.5;
/** Assumed tokens of a prompt in an engine's reported queue: other routers' prompts are about the size of ours. */
const reportedPromptTokens = 5_000;

export function createEngineLoads(options: EngineLoadsOptions = {}): EngineLoads {
  const { onOwnUseChange = () => undefined, isListed = () => true } = options;
  const { onUnresponsive = () => undefined, onResponsive = () => undefined } = options;
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
      localPrefillEndedAtMs: -Infinity,
      changes: [],
    };
    engines.set(serverId, state);
    return state;
  }

  function recordChange(state: EngineState, tokens: number): void {
    if (tokens === 0) {
      return;
    }
    const atMs = monotonicNowMs();
    state.changes.push({ tokens, atMs });
    const keepFromMs = Math.min(state.reportedAtMs, atMs) - maxReportAgeMs;
    state.changes = state.changes.filter((one) => one.atMs > keepFromMs);
  }

  /** Adds to one of this router's counters until the result is called. */
  function add(serverId: string, name: CounterName, amount: number): () => void {
    const state = stateOf(serverId);
    const apply = (signed: number) => {
      state.own[name] += signed;
      if (name === 'ownPrompts' && signed < 0) {
        state.localPrefillEndedAtMs = monotonicNowMs();
      }
      onOwnUseChange(serverId);
    };
    apply(amount);
    return runOnce(() => apply(-amount));
  }

  function place(serverId: string, estimate: StreamEstimate): PlacedStream {
    const state = stateOf(serverId);
    const stream = { ...estimate };
    state.ownStreams.add(stream);
    recordChange(state, heldTokens(stream));
    onOwnUseChange(serverId);
    return {
      noteEmitted(tokens) {
        stream.emittedTokens = Math.max(stream.emittedTokens, tokens);
      },
      release: runOnce(() => {
        state.ownStreams.delete(stream);
        recordChange(state, -heldTokens(stream));
        onOwnUseChange(serverId);
      }),
    };
  }

  function noteUnresponsive(serverId: string, cause: UnresponsiveCause): void {
    const state = stateOf(serverId);
    if (state.ownSilence === undefined) {
      state.ownSilence = { cause, sinceMs: monotonicNowMs() };
      state.own.isSilent = true;
      onOwnUseChange(serverId);
      onUnresponsive(serverId, cause);
    }
  }

  function noteResponsive(serverId: string, state: EngineState): void {
    const { ownSilence } = state;
    if (ownSilence !== undefined) {
      endOwnSilence(serverId, state);
      onResponsive(serverId, monotonicNowMs() - ownSilence.sinceMs);
    }
  }

  function endOwnSilence(serverId: string, state: EngineState): void {
    state.ownSilence = undefined;
    state.own.isSilent = false;
    onOwnUseChange(serverId);
  }

  /** An address that belongs to another server shows that the engine is gone, whoever polls it. */
  function noteNotPolled(serverId: string): void {
    const state = engines.get(serverId);
    const cause = state?.ownSilence?.cause;
    if (state !== undefined && cause !== undefined && cause !== unresponsiveCauses.otherServer) {
      endOwnSilence(serverId, state);
    }
  }

  function totalOf(state: EngineState, name: CounterName): number {
    return [...state.peers.values()].reduce((sum, peer) => sum + peer[name], state.own[name]);
  }

  /** All known streams on an engine; those of peers are extrapolated from the time they were received. */
  function streamsAt({ ownStreams, peers }: EngineState): StreamEstimate[] {
    const nowMs = monotonicNowMs();
    const peerStreams = [...peers.values()].flatMap(({ streams, receivedAtMs }) => {
      const growthTokens = tokensPerMs() * (nowMs - receivedAtMs);
      return streams.map((stream) => withGrowth(stream, growthTokens));
    });
    return [...ownStreams, ...peerStreams];
  }

  /** Tokens in use by the engine's report that no known stream accounts for. */
  function unattributedTokens(state: EngineState, streams: readonly StreamEstimate[]): number {
    const { load, reportedAtMs } = state;
    if (load === undefined || monotonicNowMs() - reportedAtMs > reportLifetimeMs) {
      return 0;
    }
    const unreportedTokens = state.changes
      .filter((change) => isUnreported(change, reportedAtMs))
      .reduce((sum, { tokens }) => sum + tokens, 0);
    const knownTokens = streams.reduce((sum, stream) => sum + heldTokens(stream), 0);
    return Math.max(0, load.usedTokens + unreportedTokens - knownTokens);
  }

  function forecast(serverId: string, capacityTokens: number): MemoryForecast {
    const state = stateOf(serverId);
    const streams = streamsAt(state);
    return createMemoryForecast({
      streams,
      otherTokens: unattributedTokens(state, streams),
      capacityTokens: state.load?.totalTokens ?? capacityTokens,
      lengthShape: lengthShape(),
      marginDeviations,
    });
  }

  function setUse(peerAddress: string, serverId: string, use: EngineUse): void {
    if (!engines.has(serverId) && (isEmptyUse(use) || !isListed(serverId))) {
      return;
    }
    const state = stateOf(serverId);
    const unknown: PeerUse = { ...emptyUse(), receivedAtMs: -Infinity };
    const known = state.peers.get(peerAddress) ?? unknown;
    recordChange(state, promptTokensOf(use) - promptTokensOf(known));
    if (use.ownPrompts < known.ownPrompts) {
      state.localPrefillEndedAtMs = monotonicNowMs();
    }
    if (isEmptyUse(use)) {
      state.peers.delete(peerAddress);
    } else {
      const nowMs = monotonicNowMs();
      const silentSinceMs = use.isSilent ? (known.silentSinceMs ?? nowMs) : undefined;
      state.peers.set(peerAddress, { ...use, receivedAtMs: nowMs, silentSinceMs });
    }
  }

  function setPeerUse(peerAddress: string, used: readonly PeerEngineUse[], isFull: boolean): void {
    peerAddresses.add(peerAddress);
    used.forEach(({ serverId, ...use }) => setUse(peerAddress, serverId, use));
    if (isFull) {
      const usedIds = new Set(used.map(({ serverId }) => serverId));
      [...engines.keys()]
        .filter((serverId) => !usedIds.has(serverId))
        .forEach((serverId) => setUse(peerAddress, serverId, emptyUse()));
    }
  }

  return {
    report(serverId, load) {
      const state = stateOf(serverId);
      state.load = load;
      state.reportedAtMs = monotonicNowMs();
      noteResponsive(serverId, state);
    },
    noteUnresponsive,
    noteNotPolled,
    noteContact(serverId) {
      stateOf(serverId).contactAtMs = monotonicNowMs();
    },
    lastAnswerAtMs(serverId) {
      const { reportedAtMs = -Infinity, contactAtMs = -Infinity } = engines.get(serverId) ?? {};
      return Math.max(reportedAtMs, contactAtMs);
    },
    isUnresponsive(serverId) {
      const state = engines.get(serverId);
      if (state === undefined || monotonicNowMs() - state.contactAtMs < contactLifetimeMs) {
        return false;
      }
      return state.own.isSilent || [...state.peers.values()].some(({ isSilent }) => isSilent);
    },
    unresponsiveEvidence(serverId) {
      const state = engines.get(serverId);
      return state && describeSilence(state, monotonicNowMs());
    },
    place,
    beginPrefill: (serverId, tokens) => add(serverId, 'prefillTokens', tokens),
    beginLocalPrefill: (serverId) => add(serverId, 'ownPrompts', 1),
    streamCount(serverId) {
      const { ownStreams, peers } = stateOf(serverId);
      return [...peers.values()].reduce(
        (sum, { streams }) => sum + streams.length,
        ownStreams.size,
      );
    },
    localPrefillCount: (serverId) => totalOf(stateOf(serverId), 'ownPrompts'),
    hadLocalPrefillSince(serverId, sinceMs) {
      const state = stateOf(serverId);
      return totalOf(state, 'ownPrompts') > 0 || state.localPrefillEndedAtMs > sinceMs;
    },
    noteFull(serverId, tokens) {
      stateOf(serverId).lastRejection = { tokens, untilMs: monotonicNowMs() + rejectionLifetimeMs };
    },
    forecast,
    isFullFor(serverId, tokens) {
      const last = engines.get(serverId)?.lastRejection;
      return last !== undefined && last.untilMs > monotonicNowMs() && tokens >= last.tokens;
    },
    prefillBacklogTokens(serverId) {
      const state = stateOf(serverId);
      // Peers announce their work in progress within milliseconds, while a report is up to a second old.
      const queuedPrompts = peerAddresses.size > 0 ? 0 : (state.load?.waiting ?? 0);
      return totalOf(state, 'prefillTokens') + queuedPrompts * reportedPromptTokens;
    },
    forget: (serverId) => engines.delete(serverId),
    ownUse: () =>
      [...engines]
        .map(([serverId, { own, ownStreams }]) => ({ serverId, ...own, streams: [...ownStreams] }))
        .filter((use) => !isEmptyUse(use)),
    setPeerUse,
    dropPeer(peerAddress) {
      peerAddresses.delete(peerAddress);
      [...engines.keys()].forEach((serverId) => setUse(peerAddress, serverId, emptyUse()));
    },
  };
}
