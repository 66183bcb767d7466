/**
 * Charges requests to their workspaces' quotas, and tells the other routers of the part what was charged: at once where
 * little is left, otherwise with the next heartbeat.
 */
import {
  createBoundedMap,
  createSharedQuota,
  type QuotaDecision,
  type QuotaSlack,
  type QuotaUse,
} from '@bluebellhitch/decisions';
import { encodeQuotaMessage, mostToldUses, type QuotaMessage } from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { quotaUnits, type CallerRequest, type Workspace, type WorkspaceQuota } from './model';

export interface QuotaChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** Companions that were heard lately. */
  livePeers(): readonly string[];
}

export interface QuotaExchangeOptions {
  channel: () => QuotaChannel | undefined;
  slack?: QuotaSlack;
  random?: Random;
}

/** What one request was charged; to be given back where it has certainly not run. */
export interface QuotaCharge {
  giveBack(): void;
}

export type ChargeOutcome =
  { kind: 'charged'; charge: QuotaCharge } | Extract<QuotaDecision, { kind: 'limited' }>;

/** The newest message of a router's life. */
interface Heard {
  life: string;
  sequence: number;
}

export interface QuotaExchange {
  setWorkspaces(workspaces: readonly Workspace[]): void;
  /** The routers of this one's part, without itself, and how many there are in all. */
  setRouters(companions: readonly string[], routerCount: number): void;
  charge(workspace: Workspace, request: CallerRequest): ChargeOutcome;
  noteHeard(router: string): void;
  receive(message: QuotaMessage): void;
  /** Tells the others that this process admits nothing more. */
  close(): void;
}

/** Requests of this time go into one datagram. */
const coalesceMs = 4;
const heartbeatMs = 1_000;
/** What was charged lately is repeated: three heartbeats may be lost. */
const repeatMs = 4_000;
/** Anything may arrive at the port: what is kept by sender does not grow with senders that are made up. */
const maxSenders = 512;
/** Of a request that no quota counts. */
export const nothingCharged: QuotaCharge = { giveBack: () => undefined };

export function createQuotaExchange(options: QuotaExchangeOptions): QuotaExchange {
  const { slack, random = Math.random } = options;
  const quota = createSharedQuota({ nowMs: monotonicNowMs(), slack, random });
  const life = Math.floor(random() * 2 ** 40).toString(36);
  const sequences = createBoundedMap<string, Heard>({ maxEntries: maxSenders });
  const greeted = new Set<string>();
  let sequence = 0;
  let toldAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  const beatTimer = setInterval(() => tell(monotonicNowMs() - repeatMs), heartbeatMs);
  beatTimer.unref();

  function tell(sinceMs: number): void {
    clearTimeout(timer);
    timer = undefined;
    const uses = quota.usesSince(sinceMs, monotonicNowMs());
    if (uses.length > 0) {
      send(uses, options.channel()?.livePeers() ?? []);
      quota.noteTold();
      toldAtMs = monotonicNowMs();
    }
  }

  function send(uses: readonly QuotaUse[], addresses: readonly string[], isLast = false): void {
    const channel = options.channel();
    if (channel === undefined || addresses.length === 0) {
      return;
    }
    sequence += 1;
    const message = {
      ...{ senderAddress: channel.address, life, sequence, isLast },
      isYoung: quota.isYoung(monotonicNowMs()),
      uses: uses
        .slice(0, mostToldUses)
        .map(({ name, ...rest }) => ({ workspaceName: name, ...rest })),
    };
    void channel.send(encodeQuotaMessage(message), addresses);
  }

  /** A router that has just started learns what is left within one way of a datagram. */
  function greet(address: string): void {
    const nowMs = monotonicNowMs();
    send(quota.usesSince(nowMs - repeatMs, nowMs), [address]);
  }

  function tellSoon(): void {
    timer ??= setTimeout(() => tell(toldAtMs), coalesceMs);
  }

  function charge({ name, quota: limit }: Workspace, request: CallerRequest): ChargeOutcome {
    if (limit === undefined) {
      return { kind: 'charged', charge: nothingCharged };
    }
    const cost = costOf(request, limit);
    const decision = quota.take(name, cost, monotonicNowMs());
    if (decision.kind === 'limited') {
      return decision;
    }
    noteChange(name);
    return { kind: 'charged', charge: { giveBack: () => giveBack(name, cost) } };
  }

  function giveBack(name: string, cost: number): void {
    quota.giveBack(name, cost, monotonicNowMs());
    noteChange(name);
  }

  function noteChange(name: string): void {
    if (quota.isUrgent(name, monotonicNowMs())) {
      tellSoon();
    }
  }

  function isOld({ senderAddress, life: itsLife, sequence: number }: QuotaMessage): boolean {
    const last = sequences.get(senderAddress);
    return last !== undefined && last.life === itsLife && number <= last.sequence;
  }

  return {
    setWorkspaces(workspaces) {
      const limited = workspaces.flatMap(({ name, quota: limit }) =>
        limit === undefined ? [] : [{ name, ...limit }],
      );
      quota.setQuotas(limited, monotonicNowMs());
    },
    setRouters(companions, routerCount) {
      quota.setRouters(companions, routerCount);
      const known = new Set(companions);
      [...[...sequences.entries()].map(([address]) => address), ...greeted]
        .filter((address) => !known.has(address))
        .forEach((address) => {
          sequences.delete(address);
          greeted.delete(address);
        });
    },
    charge,
    noteHeard(router) {
      quota.noteHeard(router, monotonicNowMs());
      if (!greeted.has(router)) {
        greeted.add(router);
        greet(router);
      }
    },
    receive(message) {
      const { senderAddress, life: itsLife, sequence: number, uses } = message;
      if (isOld(message) || senderAddress === options.channel()?.address) {
        return;
      }
      const isNewLife = sequences.get(senderAddress)?.life !== itsLife;
      sequences.set(senderAddress, { life: itsLife, sequence: number });
      const heard = uses.map(({ workspaceName, ...rest }) => ({ name: workspaceName, ...rest }));
      const news = { router: senderAddress, life: itsLife, isYoung: message.isYoung, uses: heard };
      quota.hear(news, monotonicNowMs());
      if (isNewLife && !message.isLast) {
        greet(senderAddress);
      }
      if (message.isLast) {
        quota.noteLeft(senderAddress);
      }
    },
    close() {
      clearInterval(beatTimer);
      clearTimeout(timer);
      const nowMs = monotonicNowMs();
      send(quota.usesSince(nowMs - repeatMs, nowMs), options.channel()?.livePeers() ?? [], true);
    },
  };
}

/** A model request counts what its caller states, at the most: an engine makes no more output than that. */
function costOf({ prompt }: CallerRequest, { unit, plainTokens }: WorkspaceQuota): number {
  switch (unit) {
    case quotaUnits.requests:
      return 1;
    case quotaUnits.tokens:
      return prompt === undefined ? plainTokens : prompt.promptTokens + prompt.maxOutputTokens;
  }
}
