/**
 * Quarantines requests that crash the backend servers that run them, at all routers of the fleet, and parts of prompts
 * that crash the engines that begin to write on them. A request is recognised by its fingerprint when it comes again, a
 * part by its id in another request. Each server that crashes while it runs the request counts once, however many
 * routers notice it; at the third the request is refused everywhere, unless all of them ended together. A request that
 * completes anywhere has not caused the crashes, and is cleared everywhere, as are parts on which an engine has written
 * for some time.
 *
 * A crash is announced at once to the known routers of all shards, since callers may repeat a request at any of
 * them. From the second crash on each router passes it on to a few others, which makes up for lost datagrams and for
 * links that are cut. A router that starts, or returns after a partition, asks the routers that it meets.
 */
import {
  activeStrikes,
  createBoundedMap,
  createQuarantine,
  fleetQuarantinePolicy,
  type QuarantineRecord,
  type ReportedStrike,
} from '@bluebellhitch/decisions';
import type { CrashingRequest, CrashMessage } from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { ServerEnds } from '../servers/serverEnds';
import { createCrashAnnouncements, type QuarantineChannel } from './crashAnnouncements';
import { createPartSoundness } from './partSoundness';
import { createPartTrials } from './partTrials';
import type { RequestIdentity } from './requestFingerprint';
import { createRequestGuard, type RequestGuard } from './requestGuard';
import { createRunEvidence, type CarriedCall, type ObservedRun } from './runEvidence';

/** What serves requests reports here, and asks. */
export interface RunQuarantine {
  guard(identity: RequestIdentity): RequestGuard;
  observeRun(call: CarriedCall): ObservedRun;
  /** The server has broken off a call with the request. */
  noteLost(call: CarriedCall): void;
  /** A server has run the plain request to its end. */
  noteCompleted(identity: RequestIdentity): void;
}

export interface RequestQuarantine extends RunQuarantine {
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
export const noQuarantine: RunQuarantine = {
  guard: () => ({ heldBackMs: () => undefined }),
  observeRun: () => ({ noteEvent: () => undefined, noteCompleted: () => undefined }),
  noteLost: () => undefined,
  noteCompleted: () => undefined,
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
  const quarantine = createQuarantine({ lifetimeMs: fleetQuarantinePolicy.memoryMs });
  const questionsLeft = createBoundedMap<string, number>({ maxEntries: maxRememberedRouters });
  /** Requests whose crashes or completions this router has noticed itself. */
  const noticed = createBoundedMap<string, true>({ maxEntries: maxNoticed });
  const sweepTimer = setInterval(() => quarantine.sweep(monotonicNowMs()), sweepIntervalMs);
  sweepTimer.unref();

  const recordOf = (fingerprint: string) => quarantine.record(allServices, fingerprint);
  const soundAtMs = (fingerprint: string) => quarantine.soundAtMs(allServices, fingerprint);
  const announcements = createCrashAnnouncements({ channel, recordOf, soundAtMs, random });
  const soundness = createPartSoundness({ soundAtMs, announce: announcements.announce, random });
  const trials = createPartTrials(channel);
  const judge = (fingerprint: string) =>
    quarantine.verdict({
      ...{ service: allServices, fingerprint, policy: fleetQuarantinePolicy },
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
      logger.warn('request quarantined', {
        fingerprint,
        servers,
        forMs: fleetQuarantinePolicy.durationMs,
      });
      onQuarantined();
    }
    if (wasQuarantined && !isNowQuarantined) {
      logger.info('request released', { fingerprint });
    }
    return hasChanged;
  }

  function strike({ identity, server, startedAtMs }: CarriedCall, lostAtMs: number): boolean {
    const { id } = server;
    const base = { service: allServices, attemptId: id, instanceId: id, startedAtMs };
    const suspects = [
      { ...base, fingerprint: identity.fingerprint() },
      ...identity.partFingerprints.map((fingerprint, depth) => ({ ...base, fingerprint, depth })),
    ];
    return suspects.filter((suspect) => strikeOne(suspect, lostAtMs)).length > 0;
  }

  function strikeOne(suspect: ReportedStrike, lostAtMs: number): boolean {
    const { fingerprint } = suspect;
    noticed.set(fingerprint, true);
    if (!change(fingerprint, () => quarantine.strike(suspect, lostAtMs))) {
      return false;
    }
    announcements.announce(fingerprint);
    return true;
  }

  /** Only routers that have noticed strikes of the part announce that they no longer count. */
  function noteSoundPart(fingerprint: string): void {
    const clear = () => quarantine.noteSoundPart(allServices, fingerprint, monotonicNowMs());
    if (noticed.has(fingerprint) || isQuarantined(fingerprint)) {
      clearWith(fingerprint, clear);
    } else {
      clear();
    }
  }

  function noteCompleted({ fingerprint: fingerprintOf }: RequestIdentity): void {
    if (quarantine.size() === 0) {
      return;
    }
    const fingerprint = fingerprintOf();
    if (recordOf(fingerprint) !== undefined) {
      clearWith(fingerprint, () => quarantine.clear(allServices, fingerprint));
    }
  }

  function clearWith(fingerprint: string, clear: () => boolean): void {
    noticed.set(fingerprint, true);
    if (change(fingerprint, clear)) {
      announcements.announce(fingerprint);
    }
  }

  function noteSoundness({ fingerprint, depth, soundAgeMs }: CrashingRequest, nowMs: number): void {
    const atMs = soundAgeMs === undefined ? undefined : nowMs - soundAgeMs;
    if (atMs !== undefined) {
      change(fingerprint, () => {
        quarantine.noteProvenPart(allServices, fingerprint, atMs);
        return false;
      });
    }
    if (depth !== undefined) {
      soundness.noteAnnounced(fingerprint, atMs);
    }
  }

  function receiveRequest(request: CrashingRequest): void {
    const { fingerprint } = request;
    const nowMs = monotonicNowMs();
    const countBefore = crashCount(fingerprint);
    noteSoundness(request, nowMs);
    change(fingerprint, () => quarantine.merge(fromWire(request, nowMs), nowMs));
    const count = crashCount(fingerprint);
    if (count > countBefore && count >= minCrashesToPassOn) {
      announcements.passOn(fingerprint);
    }
    request.crashes.forEach(({ serverId, ageMs }) =>
      evidence.noteServerEnded(serverId, nowMs - ageMs),
    );
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

  const evidence = createRunEvidence({
    ...{ strike, noteSoundPart, noteCompleted, onCrash, logger },
    isSuspected: (part) => activeStrikes(recordOf(part)).length > 0,
    isRunning: serverEnds.isRunning,
  });

  return {
    guard: (identity) =>
      createRequestGuard(identity, { isEmpty: () => quarantine.size() === 0, judge, trials }),
    observeRun: evidence.observeRun,
    noteLost(call) {
      const lostAtMs = monotonicNowMs();
      evidence.noteServerLost(call.server.id);
      void serverEnds.hasCrashed(call.server).then((hasCrashed) => {
        if (hasCrashed) {
          evidence.noteCrash(call, lostAtMs);
        }
      });
    },
    noteCompleted,
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
      soundness.close();
      clearInterval(sweepTimer);
    },
  };
}

function lastCrashAtMs({ strikes }: QuarantineRecord): number {
  return Math.max(...strikes.map(({ struckAtMs }) => struckAtMs));
}

function fromWire(request: CrashingRequest, nowMs: number): QuarantineRecord {
  const { fingerprint, depth, crashes } = request;
  return {
    service: allServices,
    fingerprint,
    depth,
    strikes: crashes.map(({ serverId, ageMs, durationMs }) => ({
      attemptId: serverId,
      instanceId: serverId,
      struckAtMs: nowMs - ageMs,
      startedAtMs: nowMs - ageMs - durationMs,
    })),
    clearedAttemptIds: crashes.filter(({ isCleared }) => isCleared).map(({ serverId }) => serverId),
  };
}
