/**
 * Limits requests to overloaded backend servers to the rate that they state in their responses, over all routers
 * together. Announces the limits that this router reads to the others, and asks the issuers of a server's permits for
 * one if no other server can take a request.
 */
import {
  createBoundedMap,
  createSharedPermits,
  type LimitObservation,
} from '@bluebellhitch/decisions';
import {
  encodeLimitMessage,
  maxLimitsPerMessage,
  type LimitMessage,
  type PermitAnswer,
  type PermitQuestion,
} from '@bluebellhitch/protocol';
import { rotateRandomly, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { BackendServer } from '../model';

export interface LimitChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
}

export interface ServerLimitsOptions {
  channel: () => LimitChannel | undefined;
  isListed: (serverId: string) => boolean;
  /** Receives the number of servers that state a limit whenever it may have changed. */
  onLimitedCount?: (limitedServers: number) => void;
  onPermit?: (outcome: PermitOutcome) => void;
  logger: Logger;
  random?: Random;
}

/** Where a request's permit came from; `refused` if no issuer that was asked granted one. */
export type PermitOutcome = 'own' | 'granted' | 'refused';

/** The permits that are checked when a server is chosen for a request. */
export interface ServerPermits {
  /** Whether `count` requests may be sent to the server now; always true if it states no limit. */
  mayTake(serverId: string, count?: number): boolean;
  /** Takes permits for `count` requests; false, and takes none, if there are fewer. */
  take(serverId: string, count?: number): boolean;
  /** Asks other routers; true once one has granted a permit, which is then available to `take`. */
  request(serverId: string): Promise<boolean>;
  /** Time until a permit may be available. */
  waitMs(serverId: string): number;
}

export interface ServerLimits extends ServerPermits {
  /** Sets all other known routers. */
  setRouters(ownAddress: string, others: readonly string[]): void;
  /** Records that a response of the server states this limit, or none. */
  note(server: Pick<BackendServer, 'id' | 'serviceName'>, requestsPerSecond?: number): void;
  receive(message: LimitMessage): void;
  forget(serverId: string): void;
  close(): void;
}

/** Limits read within this time are announced in one datagram. */
const coalesceMs = 4;
const minAnnounceIntervalMs = 1_000;
/** Announcements go to every router: at this interval they stay below 2 KB per second for a fleet of any size. */
const announceIntervalPerRouterMs = 60;
/** Each limit is announced this many times, as datagrams may be lost. */
const announceRepeats = 3;
/** An issuer answers within a few milliseconds; a busy one may take longer than a caller should wait. */
const permitTimeoutMs = 60;
const maxIssuersAsked = 2;
/**
 * Upper bound of the time for which an issuer that refused a permit is not asked again. An issuer that did not answer
 * is not asked again for this whole time.
 */
const maxRefusalMs = 1_000;
const maxRefusals = 4_096;
const maxQuestions = 1_024;
const questionNumberRange = 2 ** 48;
/** Permits in a fleet where no server states a limit. */
export const noLimits: ServerPermits = {
  mayTake: () => true,
  take: () => true,
  request: () => Promise.resolve(true),
  waitMs: () => 0,
};

/** Wait for servers whose permits this router does not issue, as it does not know when one will be available. */
const defaultWaitMs = 500;

interface PendingQuestion {
  issuer: string;
  serverId: string;
  settle(isGranted: boolean): void;
}

export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { onLimitedCount = () => undefined, onPermit = () => undefined, logger } = options;
  const { random = Math.random } = options;
  const permits = createSharedPermits({ nowMs: monotonicNowMs(), random });
  const questions = new Map<number, PendingQuestion>();
  /** Keyed by server and issuer: until when the issuer is not asked. */
  const refusedUntilMs = createBoundedMap<string, number>({ maxEntries: maxRefusals });
  let otherRouters: readonly string[] = [];
  let announceTimer: NodeJS.Timeout | undefined;
  let announcedAtMs = -Infinity;
  const reannounceTimer = setInterval(reannounce, minAnnounceIntervalMs);
  reannounceTimer.unref();

  const announceIntervalMs = () =>
    Math.max(minAnnounceIntervalMs, otherRouters.length * announceIntervalPerRouterMs);

  function announce(observations: readonly LimitObservation[]): void {
    const limits = observations.slice(0, maxLimitsPerMessage);
    if (limits.length > 0 && otherRouters.length > 0) {
      void options
        .channel()
        ?.send(encodeLimitMessage({ kind: 'limit-news', limits }), otherRouters);
    }
  }

  function reannounce(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - announcedAtMs >= announceIntervalMs() - minAnnounceIntervalMs / 2) {
      announcedAtMs = nowMs;
      announce(permits.observationsSince(nowMs - announceRepeats * announceIntervalMs(), nowMs));
    }
  }

  function scheduleAnnouncement(): void {
    const sinceMs = monotonicNowMs() - coalesceMs;
    announceTimer ??= setTimeout(() => {
      announceTimer = undefined;
      announce(permits.observationsSince(sinceMs, monotonicNowMs()));
    }, coalesceMs);
  }

  function noteLimit(
    { id, serviceName }: Pick<BackendServer, 'id' | 'serviceName'>,
    rate?: number,
  ): void {
    const before = permits.limitOf(id);
    if (permits.note(id, rate, monotonicNowMs())) {
      scheduleAnnouncement();
    }
    if (before !== rate) {
      logger.info('server limit', { id, serviceName, requestsPerSecond: rate, before });
      onLimitedCount(permits.limitedServerCount());
    }
  }

  function applyAnnounced(observation: LimitObservation): void {
    if (!options.isListed(observation.serverId)) {
      return;
    }
    const { serverId: id } = observation;
    const before = permits.limitOf(id);
    permits.applyRemote(observation, monotonicNowMs());
    const now = permits.limitOf(id);
    if (before !== now) {
      logger.info('server limit heard', { id, requestsPerSecond: now, before });
      onLimitedCount(permits.limitedServerCount());
    }
  }

  function answer({ senderAddress, number, serverId }: PermitQuestion): void {
    const nowMs = monotonicNowMs();
    const isGranted = permits.grant(serverId, nowMs);
    const waitMs = isGranted ? 0 : (permits.waitMs(serverId, nowMs) ?? maxRefusalMs);
    const reply = { kind: 'permit-answer', number, isGranted, waitMs } as const;
    void options.channel()?.send(encodeLimitMessage(reply), [senderAddress]);
  }

  function applyAnswer({ number, isGranted, waitMs }: PermitAnswer): void {
    const pending = questions.get(number);
    if (pending === undefined) {
      return;
    }
    if (isGranted) {
      permits.noteGranted(pending.serverId, monotonicNowMs());
    } else {
      noteRefused(pending, waitMs);
    }
    pending.settle(isGranted);
  }

  function noteRefused({ serverId, issuer }: PendingQuestion, waitMs: number): void {
    const untilMs = monotonicNowMs() + Math.min(maxRefusalMs, waitMs);
    refusedUntilMs.set(`${serverId} ${issuer}`, untilMs);
  }

  function ask(issuer: string, serverId: string): Promise<boolean> {
    const channel = options.channel();
    if (channel === undefined || questions.size >= maxQuestions) {
      return Promise.resolve(false);
    }
    const number = Math.floor(random() * questionNumberRange);
    return new Promise((resolve) => {
      const settle = (isGranted: boolean) => {
        clearTimeout(timer);
        questions.delete(number);
        resolve(isGranted);
      };
      const pending = { issuer, serverId, settle };
      const timer = setTimeout(() => {
        noteRefused(pending, maxRefusalMs);
        settle(false);
      }, permitTimeoutMs);
      questions.set(number, pending);
      const question = { kind: 'permit-question', number, serverId } as const;
      const bytes = encodeLimitMessage({ ...question, senderAddress: channel.address });
      void channel.send(bytes, [issuer]);
    });
  }

  /** Asks issuers one after the other, since a second grant for the same request would be wasted. */
  async function request(serverId: string): Promise<boolean> {
    const nowMs = monotonicNowMs();
    const issuers = permits
      .issuers(serverId, nowMs)
      .filter((issuer) => (refusedUntilMs.get(`${serverId} ${issuer}`) ?? -Infinity) <= nowMs);
    for (const issuer of rotateRandomly(issuers, random).slice(0, maxIssuersAsked)) {
      if (await ask(issuer, serverId)) {
        onPermit('granted');
        return true;
      }
    }
    onPermit('refused');
    return false;
  }

  return {
    setRouters(ownAddress, addresses) {
      otherRouters = addresses;
      permits.setRouters(ownAddress, addresses, monotonicNowMs());
    },
    note: noteLimit,
    receive(message) {
      switch (message.kind) {
        case 'limit-news':
          message.limits.forEach(applyAnnounced);
          break;
        case 'permit-question':
          answer(message);
          break;
        case 'permit-answer':
          applyAnswer(message);
          break;
      }
    },
    mayTake: (serverId, count) => permits.mayTake(serverId, monotonicNowMs(), count),
    take(serverId, count) {
      const isTaken = permits.take(serverId, monotonicNowMs(), count);
      if (isTaken && permits.limitOf(serverId) !== undefined) {
        onPermit('own');
      }
      return isTaken;
    },
    request,
    waitMs: (serverId) => permits.waitMs(serverId, monotonicNowMs()) ?? defaultWaitMs,
    forget(serverId) {
      permits.forget(serverId);
      onLimitedCount(permits.limitedServerCount());
    },
    close() {
      clearInterval(reannounceTimer);
      clearTimeout(announceTimer);
    },
  };
}
