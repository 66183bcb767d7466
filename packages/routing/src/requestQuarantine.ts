/**
 * Quarantines requests that crash the backend servers that run them, at all routers of the fleet. A request is
 * recognised by its fingerprint when it comes again. Each server that crashes while it runs the request counts once,
 * however many routers notice it; at the third the request is refused everywhere, unless all of them ended together. A request that completes anywhere has
 * not caused the crashes, and is cleared everywhere.
 *
 * A crash is announced at once to all known routers, whatever their shard, since callers may repeat a request at any of
 * them. From the second crash on each router passes it on to a few others, which makes up for lost datagrams and for
 * links that are cut. A router that starts, or returns after a partition, asks the routers that it meets.
 */
import {
  createBoundedMap,
  createQuarantine,
  type QuarantinePolicy,
  type QuarantineRecord,
} from '@bluebellhitch/decisions';
import {
  encodeCrashMessage,
  maxCrashesPerRequest,
  maxRequestsPerMessage,
  type CrashingRequest,
  type CrashMessage,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, rotateRandomly, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { createByteBudget } from './byteBudget';
import type { BackendServer } from './model';
import type { ServerEnds } from './serverEnds';

/** Returns the fingerprint, which is computed only if it is needed. */
export type Fingerprint = () => string;

export interface LostCall {
  fingerprint: Fingerprint;
  requestId: string;
  server: BackendServer;
  /** When the call began, on the monotonic clock. */
  startedAtMs: number;
}

export interface QuarantineChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** All known routers, of any shard. */
  knownPeers(): readonly string[];
}

export interface RequestQuarantine {
  /** Time until the request may be sent to a server again; undefined if it may be sent now. */
  heldBackMs(fingerprint: Fingerprint): number | undefined;
  /** The server has broken off a call with the request. */
  noteLost(call: LostCall): void;
  /** A server has run the request to its end. */
  noteCompleted(fingerprint: Fingerprint): void;
  /** Called with each message of another router of the shard. */
  noteContact(router: string): void;
  /** A router has stopped sending; it is asked again when it returns. */
  dropPeer(router: string): void;
  receive(message: CrashMessage): void;
  /** Merges a record that was stored earlier; false if it no longer counts. */
  restore(record: QuarantineRecord): boolean;
  /** The store may have lost records: all requests in quarantine are reported to `onStatusChanged` again. */
  noteStoreRestored(): void;
  close(): void;
}

export interface RequestQuarantineOptions {
  channel: () => QuarantineChannel | undefined;
  serverEnds: ServerEnds;
  /**
   * Receives the record of a request that is quarantined or released, if this router has noticed one of its crashes or
   * its completion.
   */
  onStatusChanged?: (record: QuarantineRecord) => void;
  logger: Logger;
  onCrash?: () => void;
  onQuarantined?: () => void;
  random?: Random;
}

/** Stands in where no request is ever held back. */
export const noQuarantine: Pick<RequestQuarantine, 'heldBackMs' | 'noteLost' | 'noteCompleted'> = {
  heldBackMs: () => undefined,
  noteLost: () => undefined,
  noteCompleted: () => undefined,
};

/**
 * The first crash may have any cause, and so may the second of a request that was moved from a server that ended. The
 * quarantine is renewed by a single further crash within a day.
 */
const policy: QuarantinePolicy = {
  strikes: 3,
  rounds: 2,
  durationMs: 3_600_000,
  memoryMs: 86_400_000,
  release: [],
  block: [],
};
/** A request may be routed to several services; its crashes count for all of them. */
const allServices = '*';
const sweepIntervalMs = 60_000;
/** Crashes of one server become known within this time and are sent in one datagram. */
const coalesceMs = 5;
const resendMs = 1_000;
/** Each change is sent this many times, as datagrams may be lost. */
const sendsPerChange = 3;
/** Crashes from which on a router passes on what it has received. Most requests with a single crash are harmless. */
const minCrashesToPassOn = 2;
/** To how many random routers each router passes it on. */
const passOnCount = 3;
/** How often a router that was met is asked, as datagrams may be lost. */
const questionsPerRouter = 2;
const maxRememberedRouters = 1_024;
const maxNoticed = 4_096;
/** Crashes are rare: saved over minutes, this is enough to tell each of some hundred routers at once. */
const byteBudget = { bytesPerSecond: 1_000, maxSavedMs: 300_000, initialMs: 300_000 };

export function createRequestQuarantine(options: RequestQuarantineOptions): RequestQuarantine {
  const { channel, serverEnds, logger, random = Math.random } = options;
  const { onCrash = () => undefined, onQuarantined = () => undefined } = options;
  const { onStatusChanged = () => undefined } = options;
  const quarantine = createQuarantine({ lifetimeMs: policy.memoryMs });
  const budget = createByteBudget(byteBudget);
  /** How often each changed record is still to be sent, the latest change last. */
  const unsent = new Map<string, number>();
  const questionsLeft = createBoundedMap<string, number>({ maxEntries: maxRememberedRouters });
  /** Requests whose crashes or completions this router has noticed itself. */
  const noticed = createBoundedMap<string, true>({ maxEntries: maxNoticed });
  let sendTimer: NodeJS.Timeout | undefined;
  const sweepTimer = setInterval(() => quarantine.sweep(monotonicNowMs()), sweepIntervalMs);
  sweepTimer.unref();

  const recordOf = (fingerprint: string) => quarantine.record(allServices, fingerprint);
  const judge = (fingerprint: string) =>
    quarantine.verdict({
      ...{ service: allServices, fingerprint, policy },
      nowMs: monotonicNowMs(),
    });
  const isQuarantined = (fingerprint: string) => judge(fingerprint).kind === 'quarantined';
  const crashCount = (fingerprint: string) => {
    const verdict = judge(fingerprint);
    return 'strikeCount' in verdict ? verdict.strikeCount : 0;
  };

  /** Applies a change of the fingerprint's record; true if there was one. */
  function change(fingerprint: string, apply: () => boolean): boolean {
    const wasQuarantined = isQuarantined(fingerprint);
    const hasChanged = apply();
    const isNowQuarantined = isQuarantined(fingerprint);
    const record = recordOf(fingerprint);
    if (isNowQuarantined !== wasQuarantined && record !== undefined && noticed.has(fingerprint)) {
      onStatusChanged(record);
    }
    if (isNowQuarantined && !wasQuarantined) {
      const servers = record?.strikes.map(({ instanceId }) => instanceId);
      logger.warn('request quarantined', { fingerprint, servers, forMs: policy.durationMs });
      onQuarantined();
    }
    if (wasQuarantined && !isNowQuarantined) {
      logger.info('request released', { fingerprint });
    }
    return hasChanged;
  }

  function strike(call: LostCall, lostAtMs: number): void {
    const { requestId, server, startedAtMs } = call;
    const fingerprint = call.fingerprint();
    const { id } = server;
    noticed.set(fingerprint, true);
    const crash = { service: allServices, fingerprint, attemptId: id, instanceId: id, startedAtMs };
    if (change(fingerprint, () => quarantine.strike(crash, lostAtMs))) {
      logger.warn('server crashed under a request', { fingerprint, requestId, server: id });
      onCrash();
      announce(fingerprint);
    }
  }

  function announce(fingerprint: string): void {
    unsent.delete(fingerprint);
    unsent.set(fingerprint, sendsPerChange);
    clearTimeout(sendTimer);
    sendTimer = setTimeout(sendChanges, coalesceMs);
  }

  function sendChanges(): void {
    const fingerprints = [...unsent.keys()].reverse().slice(0, maxRequestsPerMessage);
    const { knownPeers = () => [] } = channel() ?? {};
    send(fingerprints, knownPeers());
    fingerprints.forEach((fingerprint) => {
      const sendsLeft = (unsent.get(fingerprint) ?? 0) - 1;
      // A record that is repeated waits behind those that have changed meanwhile.
      unsent.delete(fingerprint);
      if (sendsLeft > 0) {
        unsent.set(fingerprint, sendsLeft);
      }
    });
    if (unsent.size > 0) {
      sendTimer = setTimeout(sendChanges, resendMs);
      sendTimer.unref();
    }
  }

  /** Sends the records to as many of the routers as the budget allows. */
  function send(fingerprints: readonly string[], routers: readonly string[], isQuestion = false) {
    const open = channel();
    if (open === undefined || routers.length === 0) {
      return;
    }
    const requests = fingerprints.flatMap((fingerprint) => {
      const record = recordOf(fingerprint);
      return record === undefined ? [] : [toWire(record, monotonicNowMs())];
    });
    const bytes = encodeCrashMessage({ senderAddress: open.address, isQuestion, requests });
    const affordableCount = Math.floor(budget.available() / bytes.length);
    const receivers = rotateRandomly(routers, random).slice(0, Math.max(0, affordableCount));
    budget.take(bytes.length * receivers.length);
    void open.send(bytes, receivers);
  }

  function receiveRequest(request: CrashingRequest): void {
    const { fingerprint } = request;
    const nowMs = monotonicNowMs();
    const countBefore = crashCount(fingerprint);
    change(fingerprint, () => quarantine.merge(fromWire(request, nowMs), nowMs));
    const count = crashCount(fingerprint);
    if (count > countBefore && count >= minCrashesToPassOn) {
      const routers = rotateRandomly(channel()?.knownPeers() ?? [], random);
      send([fingerprint], routers.slice(0, passOnCount));
    }
  }

  /** Tells a router the requests that count at present, those with the latest crashes first. */
  function answer(router: string): void {
    const active = quarantine
      .records()
      .filter(({ fingerprint }) => judge(fingerprint).kind !== 'clear')
      .sort((left, right) => lastCrashAtMs(right) - lastCrashAtMs(left));
    const messageCount = Math.ceil(active.length / maxRequestsPerMessage);
    Array.from({ length: messageCount }).forEach((_none, index) => {
      const startIndex = index * maxRequestsPerMessage;
      const part = active.slice(startIndex, startIndex + maxRequestsPerMessage);
      send(
        part.map(({ fingerprint }) => fingerprint),
        [router],
      );
    });
  }

  return {
    heldBackMs(fingerprint) {
      if (quarantine.size() === 0) {
        return undefined;
      }
      const verdict = judge(fingerprint());
      return verdict.kind === 'quarantined' ? verdict.retryAfterMs : undefined;
    },
    noteLost(call) {
      const lostAtMs = monotonicNowMs();
      void serverEnds.hasCrashed(call.server).then((hasCrashed) => {
        if (hasCrashed) {
          strike(call, lostAtMs);
        }
      });
    },
    noteCompleted(fingerprintOf) {
      if (quarantine.size() === 0) {
        return;
      }
      const fingerprint = fingerprintOf();
      if (recordOf(fingerprint) === undefined) {
        return;
      }
      noticed.set(fingerprint, true);
      if (change(fingerprint, () => quarantine.clear(allServices, fingerprint))) {
        announce(fingerprint);
      }
    },
    noteContact(router) {
      const left = questionsLeft.get(router) ?? questionsPerRouter;
      if (left > 0) {
        questionsLeft.set(router, left - 1);
        send([], [router], true);
      }
    },
    dropPeer(router) {
      questionsLeft.delete(router);
    },
    receive({ senderAddress, isQuestion, requests }) {
      // Anyone may send to the port.
      if (!channel()?.knownPeers().includes(senderAddress)) {
        return;
      }
      requests.forEach(receiveRequest);
      if (isQuestion) {
        answer(senderAddress);
      }
    },
    restore(stored) {
      const { fingerprint } = stored;
      const record = { ...stored, service: allServices };
      change(fingerprint, () => quarantine.merge(record, monotonicNowMs()));
      return judge(fingerprint).kind !== 'clear';
    },
    noteStoreRestored() {
      quarantine
        .records()
        .filter(({ fingerprint }) => isQuarantined(fingerprint))
        .forEach(onStatusChanged);
    },
    close() {
      clearTimeout(sendTimer);
      clearInterval(sweepTimer);
    },
  };
}

function lastCrashAtMs({ strikes }: QuarantineRecord): number {
  return Math.max(...strikes.map(({ struckAtMs }) => struckAtMs));
}

/** The latest crashes: those before them no longer matter. */
function toWire(record: QuarantineRecord, nowMs: number): CrashingRequest {
  const { fingerprint, strikes, clearedAttemptIds } = record;
  return {
    fingerprint,
    crashes: strikes
      .slice(0, maxCrashesPerRequest)
      .map(({ attemptId: serverId, struckAtMs, startedAtMs = struckAtMs }) => ({
        serverId,
        ageMs: nowMs - struckAtMs,
        durationMs: struckAtMs - startedAtMs,
        isCleared: clearedAttemptIds.includes(serverId),
      })),
  };
}

function fromWire({ fingerprint, crashes }: CrashingRequest, nowMs: number): QuarantineRecord {
  return {
    service: allServices,
    fingerprint,
    strikes: crashes.map(({ serverId, ageMs, durationMs }) => ({
      attemptId: serverId,
      instanceId: serverId,
      struckAtMs: nowMs - ageMs,
      startedAtMs: nowMs - ageMs - durationMs,
    })),
    clearedAttemptIds: crashes.filter(({ isCleared }) => isCleared).map(({ serverId }) => serverId),
  };
}
