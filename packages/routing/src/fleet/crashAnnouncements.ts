/**
 * Sends what this router knows of requests that crash servers to the other routers, within a budget of bytes. What has
 * not been sent yet goes first, the requests with most crashes before others; then it is repeated, as datagrams may be
 * lost.
 */
import type { QuarantineRecord } from '@bluebellhitch/decisions';
import {
  encodeCrashMessage,
  maxCrashesPerRequest,
  maxRequestsPerMessage,
  type CrashingRequest,
} from '@bluebellhitch/protocol';
import { monotonicNowMs, rotateRandomly, type Random } from '@bluebellhitch/shared';
import { createByteBudget } from './byteBudget';

export interface QuarantineChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** All known routers, of any shard. */
  knownPeers(): readonly string[];
}

export interface CrashAnnouncements {
  /** Sends the record of a request that has changed here to all known routers, within milliseconds and repeatedly. */
  announce(fingerprint: string): void;
  /** Sends a record that was received to a few random routers, once. */
  passOn(fingerprint: string): void;
  /** Asks a router for what it knows. */
  ask(router: string): void;
  /** Sends the records to one router, the first ones first. */
  sendTo(router: string, fingerprints: readonly string[]): void;
  close(): void;
}

export interface CrashAnnouncementsOptions {
  channel: () => QuarantineChannel | undefined;
  recordOf: (fingerprint: string) => QuarantineRecord | undefined;
  /** When a server last wrote on the part without harm. */
  soundAtMs: (fingerprint: string) => number | undefined;
  random: Random;
}

/** Crashes of one server become known within this time and are sent in one datagram. */
const coalesceMs = 5;
const resendMs = 1_000;
/** Each change is sent this many times. */
const sendsPerChange = 3;
/** To how many routers each router passes on what it has received. */
const passOnCount = 3;
/** Crashes are rare: saved over minutes, this is enough for a message to each of some hundred routers. */
const byteBudget = { bytesPerSecond: 1_000, maxSavedMs: 300_000, initialMs: 300_000 };

export function createCrashAnnouncements(options: CrashAnnouncementsOptions): CrashAnnouncements {
  const { channel, recordOf, soundAtMs, random } = options;
  const budget = createByteBudget(byteBudget);
  /** How often each changed record is still to be sent. */
  const sendsLeft = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;

  function scheduleSend(delayMs: number): void {
    clearTimeout(timer);
    timer = setTimeout(sendNext, delayMs);
    timer.unref();
  }

  function nextToSend(): string[] {
    const crashCount = (fingerprint: string) => recordOf(fingerprint)?.strikes.length ?? 0;
    return [...sendsLeft]
      .sort(
        ([left, leftSends], [right, rightSends]) =>
          rightSends - leftSends || crashCount(right) - crashCount(left),
      )
      .slice(0, maxRequestsPerMessage)
      .map(([fingerprint]) => fingerprint);
  }

  function sendNext(): void {
    const fingerprints = nextToSend();
    if (send(fingerprints, channel()?.knownPeers() ?? [])) {
      fingerprints.forEach(noteSent);
    }
    const hasUnsent = [...sendsLeft.values()].includes(sendsPerChange);
    if (sendsLeft.size > 0) {
      scheduleSend(hasUnsent && budget.available() > 0 ? coalesceMs : resendMs);
    }
  }

  function noteSent(fingerprint: string): void {
    const left = (sendsLeft.get(fingerprint) ?? 0) - 1;
    if (left > 0) {
      sendsLeft.set(fingerprint, left);
    } else {
      sendsLeft.delete(fingerprint);
    }
  }

  /** Sends to as many of the routers as the budget allows; false if it allows none of them. */
  function send(
    fingerprints: readonly string[],
    routers: readonly string[],
    isQuestion = false,
  ): boolean {
    const open = channel();
    if (open === undefined || routers.length === 0) {
      return true;
    }
    const requests = fingerprints.flatMap((fingerprint) => {
      const record = recordOf(fingerprint);
      return record === undefined ? [] : [toWire(record, soundAtMs(fingerprint), monotonicNowMs())];
    });
    const bytes = encodeCrashMessage({ senderAddress: open.address, isQuestion, requests });
    const affordableCount = Math.max(0, Math.floor(budget.available() / bytes.length));
    const receivers = rotateRandomly(routers, random).slice(0, affordableCount);
    budget.take(bytes.length * receivers.length);
    void open.send(bytes, receivers);
    return receivers.length > 0;
  }

  return {
    announce(fingerprint) {
      sendsLeft.set(fingerprint, sendsPerChange);
      scheduleSend(coalesceMs);
    },
    passOn(fingerprint) {
      const routers = rotateRandomly(channel()?.knownPeers() ?? [], random);
      send([fingerprint], routers.slice(0, passOnCount));
    },
    ask: (router) => {
      send([], [router], true);
    },
    sendTo(router, fingerprints) {
      const messageCount = Math.ceil(fingerprints.length / maxRequestsPerMessage);
      Array.from({ length: messageCount }).forEach((_none, index) => {
        const start = index * maxRequestsPerMessage;
        send(fingerprints.slice(start, start + maxRequestsPerMessage), [router]);
      });
    },
    close: () => clearTimeout(timer),
  };
}

/** The latest crashes: those before them no longer matter. */
function toWire(
  record: QuarantineRecord,
  soundAtMs: number | undefined,
  nowMs: number,
): CrashingRequest {
  const { fingerprint, depth, strikes, clearedAttemptIds } = record;
  return {
    fingerprint,
    depth,
    soundAgeMs: soundAtMs === undefined ? undefined : Math.max(0, nowMs - soundAtMs),
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
