/**
 * Quarantines requests that crash the backend servers that run them, at all routers of the fleet. A request is
 * recognised by its fingerprint when it comes again. Each server that crashes while it runs the request counts once,
 * however many routers notice it; at the third the request is refused everywhere, unless all of them ended together. A
 * request that completes anywhere has not caused the crashes, and is cleared everywhere.
 *
 * A crash is announced at once to the known routers of all shards, since callers may repeat a request at any of
 * them. From the second crash on each router passes it on to a few others, which makes up for lost datagrams and for
 * links that are cut. A router that starts, or returns after a partition, asks the routers that it meets.
 */
import {
  createBoundedMap,
  createQuarantine,
  type QuarantinePolicy,
  type QuarantineRecord,
} from '@bluebellhitch/decisions';
import type { CrashingRequest, CrashMessage } from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { createCrashAnnouncements, type QuarantineChannel } from './crashAnnouncements';
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
/** Crashes from which on a router passes on what it has received. Most requests with a single crash are harmless. */
const minCrashesToPassOn = 2;
/** How often a router that was met is asked, as datagrams may be lost. */
const questionsPerRouter = 2;
const maxRememberedRouters = 1_024;
const maxNoticed = 4_096;
export function createRequestQuarantine(options: RequestQuarantineOptions): RequestQuarantine {
  const { channel, serverEnds, logger, random = Math.random } = options;
  const { onCrash = () => undefined, onQuarantined = () => undefined } = options;
  const { onStatusChanged = () => undefined } = options;
  const quarantine = createQuarantine({ lifetimeMs: policy.memoryMs });
  const questionsLeft = createBoundedMap<string, number>({ maxEntries: maxRememberedRouters });
  /** Requests whose crashes or completions this router has noticed itself. */
  const noticed = createBoundedMap<string, true>({ maxEntries: maxNoticed });
  const sweepTimer = setInterval(() => quarantine.sweep(monotonicNowMs()), sweepIntervalMs);
  sweepTimer.unref();

  const recordOf = (fingerprint: string) => quarantine.record(allServices, fingerprint);
  const announcements = createCrashAnnouncements({ channel, recordOf, random });
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
      announcements.announce(fingerprint);
    }
  }

  function receiveRequest(request: CrashingRequest): void {
    const { fingerprint } = request;
    const nowMs = monotonicNowMs();
    const countBefore = crashCount(fingerprint);
    change(fingerprint, () => quarantine.merge(fromWire(request, nowMs), nowMs));
    const count = crashCount(fingerprint);
    if (count > countBefore && count >= minCrashesToPassOn) {
      announcements.passOn(fingerprint);
    }
  }

  /** Tells a router the requests that count at present, those with the latest crashes first. */
  function answer(router: string): void {
    const active = quarantine
      .records()
      .filter(({ fingerprint }) => judge(fingerprint).kind !== 'clear')
      .sort((left, right) => lastCrashAtMs(right) - lastCrashAtMs(left));
    announcements.sendTo(
      router,
      active.map(({ fingerprint }) => fingerprint),
    );
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
        announcements.announce(fingerprint);
      }
    },
    noteContact(router) {
      const left = questionsLeft.get(router) ?? questionsPerRouter;
      if (left > 0) {
        questionsLeft.set(router, left - 1);
        announcements.ask(router);
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
      announcements.close();
      clearInterval(sweepTimer);
    },
  };
}

function lastCrashAtMs({ strikes }: QuarantineRecord): number {
  return Math.max(...strikes.map(({ struckAtMs }) => struckAtMs));
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
