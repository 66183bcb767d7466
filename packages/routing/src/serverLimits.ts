/**
 * Keeps requests to backend servers in need below the rate that they name in their answers, over all routers together.
 * Tells the other routers of limits that this one reads, and asks those that issue a server's permits for one where no
 * other server can take a request.
 */
import {
  createBoundedMap,
  createSharedPermits,
  type LimitSighting,
} from '@bluebellhitch/decisions';
import {
  encodeLimitMessage,
  mostToldLimits,
  type LimitMessage,
  type PermitAnswer,
  type PermitQuestion,
} from '@bluebellhitch/protocol';
import { fromAnyPlace, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { BackendServer } from './model';

export interface LimitChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
}

export interface ServerLimitsOptions {
  channel: () => LimitChannel | undefined;
  isListed: (serverId: string) => boolean;
  /** Told how many servers name a limit, when that may have changed. */
  onCount?: (limitedServers: number) => void;
  onPermit?: (outcome: PermitOutcome) => void;
  logger: Logger;
  random?: Random;
}

/** Where a request's permit came from; `refused` where no issuer that was asked had one. */
export type PermitOutcome = 'own' | 'granted' | 'refused';

/** What requests ask before they choose a server. */
export interface ServerPermits {
  /** Whether so many requests may go to the server now; always, where it names no limit. */
  mayTake(serverId: string, count?: number): boolean;
  /** Takes the permits for so many requests; false where there are fewer after all. */
  take(serverId: string, count?: number): boolean;
  /** Asks other routers; true once one has granted a permit, which `take` then takes. */
  request(serverId: string): Promise<boolean>;
  /** Until there may be a permit. */
  waitMs(serverId: string): number;
}

export interface ServerLimits extends ServerPermits {
  /** All other routers that are known. */
  setRouters(ownAddress: string, others: readonly string[]): void;
  /** An answer of the server names so many requests a second, or no limit. */
  note(server: Pick<BackendServer, 'id' | 'serviceName'>, requestsPerSecond?: number): void;
  receive(message: LimitMessage): void;
  forget(serverId: string): void;
  close(): void;
}

/** Answers of this time go into one datagram. */
const coalesceMs = 4;
const leastNewsIntervalMs = 1_000;
/** News go to every router: at this pace they are below 2 KB a second at any size. */
const newsIntervalPerRouterMs = 60;
/** Lost news are healed by the next two. */
const newsRepeats = 3;
/** An issuer answers within a few milliseconds; a busy one later than a caller should wait for. */
const permitTimeoutMs = 60;
const mostAsked = 2;
/** An issuer that had none is not asked again before it may have one, and one that did not answer not for a while. */
const longestRefusalMs = 1_000;
const maxRefusals = 4_096;
const maxQuestions = 1_024;
const questionNumbers = 2 ** 48;
/** Where no server names a limit. */
export const noLimits: ServerPermits = {
  mayTake: () => true,
  take: () => true,
  request: () => Promise.resolve(true),
  waitMs: () => 0,
};

/** Where this router issues no permits it does not know when there will be one. */
const unknownWaitMs = 500;

interface Asked {
  issuer: string;
  serverId: string;
  settle(isGranted: boolean): void;
}

export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { onCount = () => undefined, onPermit = () => undefined, logger } = options;
  const { random = Math.random } = options;
  const permits = createSharedPermits({ nowMs: monotonicNowMs(), random });
  const questions = new Map<number, Asked>();
  /** By server and issuer: until when it need not be asked. */
  const refusedUntilMs = createBoundedMap<string, number>({ maxEntries: maxRefusals });
  let others: readonly string[] = [];
  let soonTimer: NodeJS.Timeout | undefined;
  let toldAtMs = -Infinity;
  const beatTimer = setInterval(beat, leastNewsIntervalMs);
  beatTimer.unref();

  const newsIntervalMs = () =>
    Math.max(leastNewsIntervalMs, others.length * newsIntervalPerRouterMs);

  function tell(sightings: readonly LimitSighting[]): void {
    const limits = sightings.slice(0, mostToldLimits);
    if (limits.length > 0 && others.length > 0) {
      void options.channel()?.send(encodeLimitMessage({ kind: 'limit-news', limits }), others);
    }
  }

  function beat(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - toldAtMs >= newsIntervalMs() - leastNewsIntervalMs / 2) {
      toldAtMs = nowMs;
      tell(permits.sightingsSince(nowMs - newsRepeats * newsIntervalMs(), nowMs));
    }
  }

  function tellSoon(): void {
    const sinceMs = monotonicNowMs() - coalesceMs;
    soonTimer ??= setTimeout(() => {
      soonTimer = undefined;
      tell(permits.sightingsSince(sinceMs, monotonicNowMs()));
    }, coalesceMs);
  }

  function noteLimit(
    { id, serviceName }: Pick<BackendServer, 'id' | 'serviceName'>,
    rate?: number,
  ): void {
    const before = permits.limitOf(id);
    if (permits.note(id, rate, monotonicNowMs())) {
      tellSoon();
    }
    if (before !== rate) {
      logger.info('server limit', { id, serviceName, requestsPerSecond: rate, before });
      onCount(permits.limitedCount());
    }
  }

  function hear(sighting: LimitSighting): void {
    if (!options.isListed(sighting.serverId)) {
      return;
    }
    const { serverId: id } = sighting;
    const before = permits.limitOf(id);
    permits.hear(sighting, monotonicNowMs());
    const now = permits.limitOf(id);
    if (before !== now) {
      logger.info('server limit heard', { id, requestsPerSecond: now, before });
      onCount(permits.limitedCount());
    }
  }

  function answer({ senderAddress, number, serverId }: PermitQuestion): void {
    const nowMs = monotonicNowMs();
    const isGranted = permits.grant(serverId, nowMs);
    const waitMs = isGranted ? 0 : (permits.waitMs(serverId, nowMs) ?? longestRefusalMs);
    const reply = { kind: 'permit-answer', number, isGranted, waitMs } as const;
    void options.channel()?.send(encodeLimitMessage(reply), [senderAddress]);
  }

  function takeAnswer({ number, isGranted, waitMs }: PermitAnswer): void {
    const asked = questions.get(number);
    if (asked === undefined) {
      return;
    }
    if (isGranted) {
      permits.noteGranted(asked.serverId, monotonicNowMs());
    } else {
      noteRefused(asked, waitMs);
    }
    asked.settle(isGranted);
  }

  function noteRefused({ serverId, issuer }: Asked, waitMs: number): void {
    const untilMs = monotonicNowMs() + Math.min(longestRefusalMs, waitMs);
    refusedUntilMs.set(`${serverId} ${issuer}`, untilMs);
  }

  function ask(issuer: string, serverId: string): Promise<boolean> {
    const channel = options.channel();
    if (channel === undefined || questions.size >= maxQuestions) {
      return Promise.resolve(false);
    }
    const number = Math.floor(random() * questionNumbers);
    return new Promise((resolve) => {
      const settle = (isGranted: boolean) => {
        clearTimeout(timer);
        questions.delete(number);
        resolve(isGranted);
      };
      const asked = { issuer, serverId, settle };
      const timer = setTimeout(() => {
        noteRefused(asked, longestRefusalMs);
        settle(false);
      }, permitTimeoutMs);
      questions.set(number, asked);
      const question = { kind: 'permit-question', number, serverId } as const;
      const bytes = encodeLimitMessage({ ...question, senderAddress: channel.address });
      void channel.send(bytes, [issuer]);
    });
  }

  /** One after the other: two grants for one request would waste one. */
  async function request(serverId: string): Promise<boolean> {
    const nowMs = monotonicNowMs();
    const issuers = permits
      .issuers(serverId, nowMs)
      .filter((issuer) => (refusedUntilMs.get(`${serverId} ${issuer}`) ?? -Infinity) <= nowMs);
    for (const issuer of fromAnyPlace(issuers, random).slice(0, mostAsked)) {
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
      others = addresses;
      permits.setRouters(ownAddress, addresses, monotonicNowMs());
    },
    note: noteLimit,
    receive(message) {
      switch (message.kind) {
        case 'limit-news':
          message.limits.forEach(hear);
          break;
        case 'permit-question':
          answer(message);
          break;
        case 'permit-answer':
          takeAnswer(message);
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
    waitMs: (serverId) => permits.waitMs(serverId, monotonicNowMs()) ?? unknownWaitMs,
    forget(serverId) {
      permits.forget(serverId);
      onCount(permits.limitedCount());
    },
    close() {
      clearInterval(beatTimer);
      clearTimeout(soonTimer);
    },
  };
}
