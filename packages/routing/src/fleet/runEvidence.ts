/**
 * Derives evidence from the runs on a server, when it ends and when it does not. If it ends, the requests that it ran are
 * suspected, and the parts of their prompts on which it had just started to write, also where the run is complete by
 * then. Parts on which an engine has written for some time have done no harm.
 */
import { createBoundedMap, createUnsettledRuns } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { BackendServer } from '../model';
import type { RequestIdentity } from './requestFingerprint';

export interface CarriedCall {
  identity: RequestIdentity;
  requestId: string;
  server: BackendServer;
  /** When the call began, on the monotonic clock. */
  startedAtMs: number;
}

/** Follows one run of a stream. */
export interface ObservedRun {
  noteEvent(): void;
  /** The server has run the request to its end. */
  noteCompleted(): void;
}

export interface RunEvidence {
  observeRun(call: CarriedCall): ObservedRun;
  /** The server has broken off a call; it may have ended. */
  noteServerLost(serverId: string): void;
  /** The server has ended while it ran the call. */
  noteCrash(call: CarriedCall, lostAtMs: number): void;
  /** The server has ended, as another router or another call has noticed. */
  noteServerEnded(serverId: string, endedAtMs: number): void;
}

export interface RunEvidenceOptions {
  /** Counts the server's end against all that the call carried; false if that was known. */
  strike(call: CarriedCall, endedAtMs: number): boolean;
  noteSoundPart(partFingerprint: string): void;
  /** Whether crashes count against the part. */
  isSuspected?: (partFingerprint: string) => boolean;
  /** Whether the server answers. */
  isRunning?: (server: BackendServer) => Promise<boolean>;
  noteCompleted(identity: RequestIdentity): void;
  onCrash(): void;
  logger: Logger;
}

/** A run of a stream that has begun to write. */
interface FollowedRun {
  call: CarriedCall;
  /** Its server was still there some time after the run had begun to write. */
  hasSettled: boolean;
  isComplete: boolean;
}

/** An engine that writes on a harmful part ends within moments; one that has written this long has taken no harm. */
const settleMs = 1_000;
/**
 * A paused process may receive a server's events and its end at one moment. So the server counts as being there only if
 * nothing of its end arrives within this time.
 */
const confirmMs = 500;
const maxLostServers = 1_024;

export function createRunEvidence(options: RunEvidenceOptions): RunEvidence {
  const { strike, noteSoundPart, noteCompleted, onCrash, logger } = options;
  const { isSuspected = () => false, isRunning = () => Promise.resolve(false) } = options;
  const unsettled = createUnsettledRuns<FollowedRun>({ settleMs });
  const lostServers = createBoundedMap<string, true>({ maxEntries: maxLostServers });
  /** The latest run of each request. */
  const followed = new WeakMap<RequestIdentity, FollowedRun>();

  function noteCrash(call: CarriedCall, lostAtMs: number): void {
    const { identity, requestId, server } = call;
    const { fingerprint } = identity;
    const run = followed.get(identity);
    const hasSettled = run?.hasSettled === true && run.call.server.id === server.id;
    const suspected = hasSettled
      ? { ...call, identity: { fingerprint, partFingerprints: [] } }
      : call;
    if (strike(suspected, lostAtMs)) {
      const context = { fingerprint: fingerprint(), requestId, server: server.id };
      logger.warn('server crashed under a request', context);
      onCrash();
    }
    noteServerEnded(server.id, lostAtMs);
  }

  /** Runs that have only just begun may have ended the server, those that are complete among them. */
  function noteServerEnded(serverId: string, endedAtMs: number): void {
    lostServers.set(serverId, true);
    unsettled.noteEnded(serverId, endedAtMs).forEach(({ call }) => strike(call, endedAtMs));
  }

  function confirm(serverId: string, runs: readonly FollowedRun[]): void {
    if (runs.length > 0) {
      const timer = setTimeout(() => {
        if (!lostServers.has(serverId)) {
          runs.forEach(noteSettled);
        }
      }, confirmMs);
      timer.unref();
    }
  }

  /**
   * A stream that is shorter than the time to settle, on a server that writes nothing else, leaves no sign that it has done
   * no harm. If its parts are suspected, the server is asked for one: nothing else may run that could clear them.
   */
  function askForSign(run: FollowedRun): void {
    const { server, identity } = run.call;
    const timer = setTimeout(() => {
      const isNeeded = !run.hasSettled && identity.partFingerprints.some(isSuspected);
      if (isNeeded && !lostServers.has(server.id)) {
        void isRunning(server).then((isAlive) => {
          if (isAlive) {
            confirm(server.id, unsettled.noteAlive(server.id, monotonicNowMs()));
          }
        });
      }
    }, settleMs);
    timer.unref();
  }

  function noteSettled(run: FollowedRun): void {
    run.hasSettled = true;
    run.call.identity.partFingerprints.forEach(noteSoundPart);
    if (run.isComplete) {
      noteCompleted(run.call.identity);
    }
  }

  function observeRun(call: CarriedCall): ObservedRun {
    const run: FollowedRun = { call, hasSettled: false, isComplete: false };
    followed.set(call.identity, run);
    const { id } = call.server;
    let hasBegun = false;
    return {
      noteEvent() {
        const nowMs = monotonicNowMs();
        if (!hasBegun) {
          hasBegun = true;
          unsettled.begin(id, run, nowMs);
          askForSign(run);
        }
        confirm(id, unsettled.noteAlive(id, nowMs));
      },
      noteCompleted() {
        run.isComplete = true;
        if (!hasBegun || run.hasSettled) {
          noteCompleted(call.identity);
        }
      },
    };
  }

  return {
    observeRun,
    noteServerLost: (serverId) => lostServers.set(serverId, true),
    noteCrash,
    noteServerEnded,
  };
}
