/**
 * Keeps a process's feed store up to date. The relays of a data centre watch the platform, everyone
 * else polls two of them, and asks the platform itself only where no relay answers.
 */
import type { PlatformApi, PlatformInstance } from '@bluebellhitch/objects';
import type { InstanceListState } from '@bluebellhitch/protocol';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  rendezvousOrder,
  type Random,
} from '@bluebellhitch/shared';
import { createFeedClient, type CallFeed } from './feedClient';
import type { FeedStore } from './feedStore';
import type { InstanceDirectory, ListScope } from './instanceDirectory';
import { createPlatformFeed } from './platformFeed';
import { defaultRelayCount, selectRelays } from './relays';

export interface FeedFollowerOptions {
  platform: PlatformApi;
  directory: InstanceDirectory;
  store: FeedStore;
  instanceId: string;
  dataCentre: string;
  /** An agent follows its own service only; absent for entries, which follow all. */
  services?: readonly string[];
  /** Inner addresses to ask at the start, for when the platform cannot name any instance. */
  peerAddresses?: readonly string[];
  relayCount?: number;
  /** Relays polled at once: with two, one that lags or is cut off does not hold back a change. */
  followCount?: number;
  /** Longest wait of one poll or watch. */
  waitMs?: number;
  /** A poll fails when its answer is this late. */
  lateAfterMs?: number;
  /** A relay that failed is left alone for this long. */
  suspectMs?: number;
  /** Pause between reads of the platform where no relay answers. */
  platformPauseMs?: number;
  /** First pause after a failed watch; doubles up to ten times as much. */
  retryMs?: number;
  callFeed?: CallFeed;
  random?: Random;
}

/** Where the feed comes from now. */
export type FeedSource = 'starting' | 'platform-watch' | 'relays' | 'platform-fallback';

export interface FeedFollower {
  start(): void;
  stop(): Promise<void>;
  /** Resolves once the platform or a peer has told its records. */
  ready(): Promise<void>;
  source(): FeedSource;
}

const defaults = {
  relayCount: defaultRelayCount,
  followCount: 2,
  waitMs: 25_000,
  lateAfterMs: 2000,
  suspectMs: 5000,
  platformPauseMs: 10_000,
  retryMs: 500,
} as const;

const retryLimitFactor = 10;
const startPeers = 2;
/** Peers asked at the start before the round is given up. */
const startPeersTried = 6;
/** Least time from one poll to the next, so that many changes at once cost few answers. */
const pollPauseMs = 50;
/** Pause after an answer that came at once with nothing in it: that relay is overloaded. */
const emptyPauseMs = 1000;
const cursorLimit = 64;
/** Age told by a process without a list: any list is younger. */
const noListAgeMs = 1e12;
/** A relay whose own list is this old does not reach the platform. */
const relayListMaxAgeMs = 20_000;

type PollOutcome = 'news' | 'nothing' | 'failed';

export function createFeedFollower(options: FeedFollowerOptions): FeedFollower {
  const settings = { ...defaults, ...options };
  const { directory, store, instanceId, services, waitMs, retryMs } = settings;
  const listScope: ListScope = services === undefined ? 'all' : 'entries';
  const { random = Math.random, callFeed = createFeedClient() } = options;
  const platformFeed = createPlatformFeed({
    platform: options.platform,
    store,
    services,
    watchWaitMs: waitMs,
    retryMs,
    retryLimitMs: retryMs * retryLimitFactor,
    random,
  });
  /** Position in each peer's log. */
  const cursors = new Map<string, string>();
  const suspectUntilMs = new Map<string, number>();
  let source: FeedSource = 'starting';
  let markReady: () => void = () => {};
  const readiness = new Promise<void>((resolve) => {
    markReady = resolve;
  });

  function relays(): PlatformInstance[] {
    return selectRelays(directory.entries(), settings.dataCentre, settings.relayCount);
  }

  function isRelay(): boolean {
    return relays().some(({ id }) => id === instanceId);
  }

  /** Other relays in this process's own order, so that followers spread over them. */
  function availableRelays(): PlatformInstance[] {
    const nowMs = monotonicNowMs();
    const others = relays().filter(
      ({ id, innerAddress }) =>
        id !== instanceId && (suspectUntilMs.get(innerAddress) ?? 0) <= nowMs,
    );
    return rendezvousOrder(`follow/${instanceId}`, others, ({ id }) => id);
  }

  async function run(signal: AbortSignal): Promise<void> {
    await loadUntilAnswered(signal);
    while (!signal.aborted) {
      await runInRole(signal);
    }
  }

  /** Highest generations of platform and two peers; goes on until one of them has answered. */
  async function loadUntilAnswered(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await directory.refresh();
      const [isLoaded, peerCount] = await Promise.all([platformFeed.load(), askPeers(signal)]);
      if (isLoaded || peerCount > 0) {
        markReady();
        return;
      }
      await pause(retryMs, signal);
    }
  }

  async function askPeers(signal: AbortSignal): Promise<number> {
    const listed = directory.entries().filter(({ id }) => id !== instanceId);
    const known = rendezvousOrder(`start/${instanceId}`, listed, ({ id }) => id);
    const addresses = [
      ...new Set([
        ...known.map(({ innerAddress }) => innerAddress),
        ...(options.peerAddresses ?? []),
      ]),
    ].slice(0, startPeersTried);
    let answered = 0;
    for (let start = 0; start < addresses.length && answered < startPeers; start += startPeers) {
      const chunk = addresses.slice(start, start + startPeers);
      const answers = await Promise.all(chunk.map((address) => poll(address, 0, signal)));
      answered += answers.filter((outcome) => outcome !== 'failed').length;
    }
    return answered;
  }

  /** Runs until this process starts or ceases to be a relay. */
  async function runInRole(signal: AbortSignal): Promise<void> {
    const wasRelay = isRelay();
    const changed = new AbortController();
    const unsubscribe = directory.onChange(() => isRelay() !== wasRelay && changed.abort());
    const ended = AbortSignal.any([signal, changed.signal]);
    await (wasRelay ? runAsRelay(ended) : runAsFollower(ended));
    unsubscribe();
  }

  /**
   * A relay also polls another one: a watch that is cut off or hangs looks like a quiet one, and all
   * that this relay serves would stay on the old configuration.
   */
  async function runAsRelay(signal: AbortSignal): Promise<void> {
    source = 'platform-watch';
    await Promise.all([platformFeed.follow(signal), pollWhileAvailable(0, signal)]);
  }

  async function runAsFollower(signal: AbortSignal): Promise<void> {
    source = 'relays';
    const others = Array.from({ length: settings.followCount - 1 }, (_, index) => index + 1);
    await Promise.all([
      followFirstRelay(signal),
      ...others.map((index) => pollWhileAvailable(index, signal)),
    ]);
  }

  /** Polls the first relay, and reads the platform where there is none. */
  async function followFirstRelay(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const [relay] = availableRelays();
      if (relay === undefined) {
        source = 'platform-fallback';
        await platformFeed.load();
        await pause(settings.platformPauseMs, signal);
      } else {
        source = 'relays';
        await pollPaced(relay.innerAddress, signal);
      }
    }
  }

  /** Polls the relay at `index` of this process's order as long as there are that many. */
  async function pollWhileAvailable(index: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const relay = availableRelays()[index];
      await (relay === undefined
        ? pause(settings.suspectMs, signal)
        : pollPaced(relay.innerAddress, signal));
    }
  }

  async function pollPaced(address: string, signal: AbortSignal): Promise<void> {
    const startedAtMs = monotonicNowMs();
    const outcome = await poll(address, waitMs, signal);
    const isTooSoon = outcome === 'nothing' && monotonicNowMs() - startedAtMs < waitMs / 2;
    await pause(isTooSoon ? emptyPauseMs : pollPauseMs, signal);
  }

  async function poll(address: string, pollMs: number, signal: AbortSignal): Promise<PollOutcome> {
    const cursor = cursors.get(address);
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), pollMs + settings.lateAfterMs);
    const answer = await callFeed(
      address,
      {
        cursor,
        waitMs: pollMs,
        services: services === undefined ? undefined : [...services],
        instanceList: knownList(),
      },
      AbortSignal.any([signal, timeout.signal]),
    );
    clearTimeout(timer);
    if (answer.isErr()) {
      suspect(address, signal);
      return 'failed';
    }
    store.apply(answer.value.records);
    rememberCursor(address, answer.value.cursor);
    if (answer.value.instanceList !== undefined) {
      directory.offer(answer.value.instanceList, listScope);
    }
    return answer.value.records.length > 0 ? 'news' : 'nothing';
  }

  /** Relays read the platform's list themselves, and take another's only while they cannot. */
  function knownList(): InstanceListState | undefined {
    const { digest, ageMs } = directory.listing(listScope) ?? { digest: '', ageMs: noListAgeMs };
    const wantsList = !isRelay() || ageMs > relayListMaxAgeMs;
    return wantsList ? { digest, ageMs } : undefined;
  }

  function rememberCursor(address: string, cursor: string): void {
    cursors.delete(address);
    cursors.set(address, cursor);
    [...cursors.keys()].slice(0, -cursorLimit).forEach((old) => cursors.delete(old));
  }

  function suspect(address: string, signal: AbortSignal): void {
    if (!signal.aborted) {
      cursors.delete(address);
      suspectUntilMs.set(address, monotonicNowMs() + settings.suspectMs * (0.5 + random()));
      forgetOldSuspects();
    }
  }

  function forgetOldSuspects(): void {
    const nowMs = monotonicNowMs();
    [...suspectUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([address]) => suspectUntilMs.delete(address));
  }

  function pause(durationMs: number, signal: AbortSignal): Promise<void> {
    return delay(durationMs * (0.5 + random()), signal);
  }

  return {
    ...createBackgroundLoop(run),
    ready: () => readiness,
    source: () => source,
  };
}
