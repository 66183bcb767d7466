/**
 * Charges requests to their workspaces' quotas, and announces the charges to the other routers of the shard:
 * immediately if little quota is left, otherwise with the next heartbeat.
 */
import {
  createBoundedMap,
  createSharedQuota,
  type QuotaDecision,
  type QuotaSlack,
  type QuotaUse,
} from '@bluebellhitch/decisions';
import { encodeQuotaMessage, maxUsesPerMessage, type QuotaMessage } from '@bluebellhitch/protocol';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';
import { quotaUnits, type CallerRequest, type Workspace, type WorkspaceQuota } from '../model';

export interface QuotaChannel {
  /** `ip:port` of this process. */
  address: string;
  send(bytes: Buffer, addresses: readonly string[]): Promise<unknown>;
  /** Shard peers that have sent a message within the peer timeout. */
  livePeers(): readonly string[];
}

export interface QuotaExchangeOptions {
  channel: () => QuotaChannel | undefined;
  slack?: QuotaSlack;
  random?: Random;
}

/** What one request was charged; to be refunded if it has certainly not run. */
export interface QuotaCharge {
  refund(): void;
}

export type ChargeOutcome =
  { kind: 'charged'; charge: QuotaCharge } | Extract<QuotaDecision, { kind: 'limited' }>;

/** Identifies the newest message received from a router. */
interface LastMessage {
  incarnation: string;
  sequence: number;
}

export interface QuotaExchange {
  setWorkspaces(workspaces: readonly Workspace[]): void;
  /** Sets the other routers of this one's shard, and the number of routers in the fleet. */
  setRouters(shardPeers: readonly string[], routerCount: number): void;
  charge(workspace: Workspace, request: CallerRequest): ChargeOutcome;
  noteContact(router: string): void;
  receive(message: QuotaMessage): void;
  /** Announces to the other routers that this process admits nothing more. */
  close(): void;
}

/** Charges within this time are sent in one datagram. */
const coalesceMs = 4;
const heartbeatMs = 1_000;
/** Charges of this time are sent again with each heartbeat, so that three in a row may be lost. */
const resendWindowMs = 4_000;
/** Any datagram may arrive at the port: this bounds the state kept for forged senders. */
const maxSenders = 512;
/** The charge of a request that no quota applies to. */
export const noCharge: QuotaCharge = { refund: () => undefined };

export function createQuotaExchange(options: QuotaExchangeOptions): QuotaExchange {
  const { slack, random = Math.random } = options;
  const quota = createSharedQuota({ nowMs: monotonicNowMs(), slack, random });
  const incarnation = Math.floor(random() * 2 ** 40).toString(36);
  const lastMessages = createBoundedMap<string, LastMessage>({ maxEntries: maxSenders });
  const syncedRouters = new Set<string>();
  let sequence = 0;
  let announcedAtMs = -Infinity;
  let announceTimer: NodeJS.Timeout | undefined;
  const heartbeatTimer = setInterval(
    () => announce(monotonicNowMs() - resendWindowMs),
    heartbeatMs,
  );
  heartbeatTimer.unref();

  function announce(sinceMs: number): void {
    clearTimeout(announceTimer);
    announceTimer = undefined;
    const uses = quota.usesSince(sinceMs, monotonicNowMs());
    if (uses.length > 0) {
      send(uses, options.channel()?.livePeers() ?? []);
      quota.noteAnnounced();
      announcedAtMs = monotonicNowMs();
    }
  }

  function send(uses: readonly QuotaUse[], addresses: readonly string[], isLast = false): void {
    const channel = options.channel();
    if (channel === undefined || addresses.length === 0) {
      return;
    }
    sequence += 1;
    const message = {
      ...{ senderAddress: channel.address, life: incarnation, sequence, isLast },
      isYoung: quota.isWarmingUp(monotonicNowMs()),
      uses: uses
        .slice(0, maxUsesPerMessage)
        .map(({ name, ...rest }) => ({ workspaceName: name, ...rest })),
    };
    void channel.send(encodeQuotaMessage(message), addresses);
  }

  /** Sends recent charges to a router that has just started, so that it learns the remaining quota at once. */
  function sendRecentUses(address: string): void {
    const nowMs = monotonicNowMs();
    send(quota.usesSince(nowMs - resendWindowMs, nowMs), [address]);
  }

  function scheduleAnnouncement(): void {
    announceTimer ??= setTimeout(() => announce(announcedAtMs), coalesceMs);
  }

  function charge({ name, quota: limit }: Workspace, request: CallerRequest): ChargeOutcome {
    if (limit === undefined) {
      return { kind: 'charged', charge: noCharge };
    }
    const cost = costOf(request, limit);
    const decision = quota.take(name, cost, monotonicNowMs());
    if (decision.kind === 'limited') {
      return decision;
    }
    announceIfUrgent(name);
    return { kind: 'charged', charge: { refund: () => refund(name, cost) } };
  }

  function refund(name: string, cost: number): void {
    quota.refund(name, cost, monotonicNowMs());
    announceIfUrgent(name);
  }

  function announceIfUrgent(name: string): void {
    if (quota.isUrgent(name, monotonicNowMs())) {
      scheduleAnnouncement();
    }
  }

  function isStale({ senderAddress, life, sequence: theirSequence }: QuotaMessage): boolean {
    const last = lastMessages.get(senderAddress);
    return last !== undefined && last.incarnation === life && theirSequence <= last.sequence;
  }

  return {
    setWorkspaces(workspaces) {
      const limited = workspaces.flatMap(({ name, quota: limit }) =>
        limit === undefined ? [] : [{ name, ...limit }],
      );
      quota.setQuotas(limited, monotonicNowMs());
    },
    setRouters(shardPeers, routerCount) {
      quota.setRouters(shardPeers, routerCount);
      const known = new Set(shardPeers);
      [...[...lastMessages.entries()].map(([address]) => address), ...syncedRouters]
        .filter((address) => !known.has(address))
        .forEach((address) => {
          lastMessages.delete(address);
          syncedRouters.delete(address);
        });
    },
    charge,
    noteContact(router) {
      quota.noteContact(router, monotonicNowMs());
      if (!syncedRouters.has(router)) {
        syncedRouters.add(router);
        sendRecentUses(router);
      }
    },
    receive(message) {
      const { senderAddress, life: theirIncarnation, sequence: theirSequence, uses } = message;
      if (isStale(message) || senderAddress === options.channel()?.address) {
        return;
      }
      const isNewIncarnation = lastMessages.get(senderAddress)?.incarnation !== theirIncarnation;
      lastMessages.set(senderAddress, { incarnation: theirIncarnation, sequence: theirSequence });
      const remoteUses = uses.map(({ workspaceName, ...rest }) => ({
        name: workspaceName,
        ...rest,
      }));
      const announcement = {
        router: senderAddress,
        life: theirIncarnation,
        isYoung: message.isYoung,
        uses: remoteUses,
      };
      quota.applyRemote(announcement, monotonicNowMs());
      if (isNewIncarnation && !message.isLast) {
        sendRecentUses(senderAddress);
      }
      if (message.isLast) {
        quota.noteStopped(senderAddress);
      }
    },
    close() {
      clearInterval(heartbeatTimer);
      clearTimeout(announceTimer);
      const nowMs = monotonicNowMs();
      send(
        quota.usesSince(nowMs - resendWindowMs, nowMs),
        options.channel()?.livePeers() ?? [],
        true,
      );
    },
  };
}

/** A model request costs its prompt plus the maximum output stated by its caller, which an engine never exceeds. */
function costOf({ prompt }: CallerRequest, { unit, plainTokens }: WorkspaceQuota): number {
  switch (unit) {
    case quotaUnits.requests:
      return 1;
    case quotaUnits.tokens:
      return prompt === undefined ? plainTokens : prompt.promptTokens + prompt.maxOutputTokens;
  }
}
