/**
 * Keeps a process's feed store up to date. The relays of a data centre watch the platform; every other process polls
 * two of them, and reads the platform only if no relay responds.
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
  /** The services of an agent, which follows its own only; absent for entries, which follow all services. */
  services?: readonly string[];
  /** Inner addresses to poll at the start, in case the platform cannot list any instances. */
  peerAddresses?: readonly string[];
  relayCount?: number;
  /** Relays polled concurrently: with two, one that lags or is cut off does not delay a change. */
  polledRelayCount?: number;
  /** Longest time that one poll or watch waits for changes. */
  waitMs?: number;
  /** Time beyond the poll's wait after which a missing response counts as a failure. */
  responseGraceMs?: number;
  /** A relay that failed is not polled for about this long. */
  suspectMs?: number;
  /** Pause between reads of the platform while no relay responds. */
  platformPauseMs?: number;
  /** Pause after the first failed watch; doubles with each further failure, up to ten times as much. */
  retryMs?: number;
  callFeed?: CallFeed;
  random?: Random;
}

/** The current source of the feed. */
export type FeedSource = 'starting' | 'platform-watch' | 'relays' | 'platform-fallback';

export interface FeedFollower {
  start(): void;
  stop(): Promise<void>;
  /** Resolves once the platform or a peer has delivered its records. */
  ready(): Promise<void>;
  source(): FeedSource;
}

const defaults = {
  relayCount: defaultRelayCount,
  polledRelayCount: 2,
  waitMs: 25_000,
  responseGraceMs: 2000,
  suspectMs: 5000,
  platformPauseMs: 10_000,
  retryMs: 500,
} as const;

const maxRetryFactor = 10;
const startPeerCount = 2;
/** Peers polled in one round at the start, at most. */
const maxStartPeers = 6;
/** Pause between polls, so that a burst of changes costs few responses. */
const pollPauseMs = 50;
/** Pause after an empty response that came before its wait was over: that relay is overloaded. */
const emptyReplyPauseMs = 1000;
const maxCursors = 64;
/** Age that a process without a list reports: any list is younger. */
const noListAgeMs = 1e12;
/** A relay whose own list is older than this cannot reach the platform. */
const relayListMaxAgeMs = 20_000;

type PollOutcome = 'updates' | 'nothing' | 'failed';

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
    maxRetryMs: retryMs * maxRetryFactor,
    random,
  });
  /** Cursor in each peer's log. */
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

  /** Other relays that are not suspected, in an order specific to this process, so that followers spread over them. */
  function availableRelays(): PlatformInstance[] {
    const nowMs = monotonicNowMs();
    const others = relays().filter(
      ({ id, innerAddress }) =>
        id !== instanceId && (suspectUntilMs.get(innerAddress) ?? 0) <= nowMs,
    );
    return rendezvousOrder(`follow/${instanceId}`, others, ({ id }) => id);
  }

  async function run(signal: AbortSignal): Promise<void> {
    await loadUntilAvailable(signal);
    while (!signal.aborted) {
      await runInRole(signal);
    }
  }

  /** Loads the records of the platform and two peers; repeats until one of them has responded. */
  async function loadUntilAvailable(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await directory.refresh();
      const [isLoaded, peerCount] = await Promise.all([platformFeed.load(), pollPeers(signal)]);
      if (isLoaded || peerCount > 0) {
        markReady();
        return;
      }
      await pause(retryMs, signal);
    }
  }

  async function pollPeers(signal: AbortSignal): Promise<number> {
    const listed = directory.entries().filter(({ id }) => id !== instanceId);
    const known = rendezvousOrder(`start/${instanceId}`, listed, ({ id }) => id);
    const addresses = [
      ...new Set([
        ...known.map(({ innerAddress }) => innerAddress),
        ...(options.peerAddresses ?? []),
      ]),
    ].slice(0, maxStartPeers);
    let respondedCount = 0;
    for (
      let start = 0;
      start < addresses.length && respondedCount < startPeerCount;
      start += startPeerCount
    ) {
      const chunk = addresses.slice(start, start + startPeerCount);
      const outcomes = await Promise.all(chunk.map((address) => poll(address, 0, signal)));
      respondedCount += outcomes.filter((outcome) => outcome !== 'failed').length;
    }
    return respondedCount;
  }

  /** Runs until this process becomes a relay or ceases to be one. */
  async function runInRole(signal: AbortSignal): Promise<void> {
    const wasRelay = isRelay();
    const changed = new AbortController();
    const unsubscribe = directory.onChange(() => isRelay() !== wasRelay && changed.abort());
    const ended = AbortSignal.any([signal, changed.signal]);
    await (wasRelay ? runAsRelay(ended) : runAsFollower(ended));
    unsubscribe();
  }

  /**
   * A relay also polls another one: a watch that is cut off or hangs looks like one without changes, and all processes
   * that this relay serves would stay on the old configuration.
   */
  async function runAsRelay(signal: AbortSignal): Promise<void> {
    source = 'platform-watch';
    await Promise.all([platformFeed.follow(signal), pollWhileAvailable(0, signal)]);
  }

  async function runAsFollower(signal: AbortSignal): Promise<void> {
    source = 'relays';
    const others = Array.from({ length: settings.polledRelayCount - 1 }, (_, index) => index + 1);
    await Promise.all([
      pollFirstRelay(signal),
      ...others.map((index) => pollWhileAvailable(index, signal)),
    ]);
  }

  /** Polls the first relay, or reads the platform while there is none. */
  async function pollFirstRelay(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const [relay] = availableRelays();
      if (relay === undefined) {
        source = 'platform-fallback';
        await platformFeed.load();
        await pause(settings.platformPauseMs, signal);
      } else {
        source = 'relays';
        await pollWithPause(relay.innerAddress, signal);
      }
    }
  }

  /** Polls the relay at `index` in this process's order, while there are that many. */
  async function pollWhileAvailable(index: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const relay = availableRelays()[index];
      await (relay === undefined
        ? pause(settings.suspectMs, signal)
        : pollWithPause(relay.innerAddress, signal));
    }
  }

  async function pollWithPause(address: string, signal: AbortSignal): Promise<void> {
    const startedAtMs = monotonicNowMs();
    const outcome = await poll(address, waitMs, signal);
    const isTooSoon = outcome === 'nothing' && monotonicNowMs() - startedAtMs < waitMs / 2;
    await pause(isTooSoon ? emptyReplyPauseMs : pollPauseMs, signal);
  }

  async function poll(address: string, pollMs: number, signal: AbortSignal): Promise<PollOutcome> {
    const cursor = cursors.get(address);
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), pollMs + settings.responseGraceMs);
    const reply = await callFeed(
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
    if (reply.isErr()) {
      suspect(address, signal);
      return 'failed';
    }
    store.apply(reply.value.records);
    storeCursor(address, reply.value.cursor);
    if (reply.value.instanceList !== undefined) {
      directory.applyUpdate(reply.value.instanceList, listScope);
    }
    return reply.value.records.length > 0 ? 'updates' : 'nothing';
  }

  /** Relays read the platform's list themselves, and take one from another relay only while they cannot. */
  function knownList(): InstanceListState | undefined {
    const { digest, ageMs } = directory.listing(listScope) ?? { digest: '', ageMs: noListAgeMs };
    const wantsList = !isRelay() || ageMs > relayListMaxAgeMs;
    return wantsList ? { digest, ageMs } : undefined;
  }

  function storeCursor(address: string, cursor: string): void {
    cursors.delete(address);
    cursors.set(address, cursor);
    [...cursors.keys()].slice(0, -maxCursors).forEach((old) => cursors.delete(old));
  }

  function suspect(address: string, signal: AbortSignal): void {
    if (!signal.aborted) {
      cursors.delete(address);
      suspectUntilMs.set(address, monotonicNowMs() + settings.suspectMs * (0.5 + random()));
      removeExpiredSuspects();
    }
  }

  function removeExpiredSuspects(): void {
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
