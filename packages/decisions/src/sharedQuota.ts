/**
 * One account for each workspace, kept by all routers together without a call per request. Answers workspaces that send
 * far more than their quota through every router at once, also while routers are cut off from each other, restarted
 * or frozen. Each router keeps the whole account (a bucket filled at the rate, of the size of the burst) and debits what
 * it admits and what others tell that they admitted. Told are sums of one life of a router, never differences, so that
 * a lost or late message is healed by the next.
 *
 * Largest sum admitted in any time T, over all routers of a part of n, with E = overage x (rate x T + burst) + slack:
 * - Heard: an account that is at least zero after a request has admitted at most rate x T + burst, as far as it knows.
 * - On its way: what the others admit until it is heard. In `hearMs` each spends at most the larger of the burst and half
 *   of E, over n, or one request; what is told with the next heartbeat only is a quarter of what is left, over n.
 * - Not heard: who has been silent for `silentMs` is taken to spend its even part, rate / n, and spends no more once it
 *   counts all others as silent itself. Before that each side spends at the rate of what callers ask: with 8 of 24 cut
 *   off and callers spread evenly, at most the rate x 1.5 s x 1/3.
 * - Forgotten: a router that starts brings its even part of the burst, and takes the account of the first older router
 *   that it hears for its own. Where all have started together they have one burst more, which is less than E.
 * What is not bounded: where all n routers are cut off from each other at the same moment, while callers of one workspace
 * ask each of them for its whole rate, n times the rate may be admitted for the first 1.5 s.
 */
import { createBoundedMap } from './boundedMap';
import { createQuotaRouters, type QuotaRouter } from './quotaRouters';

export interface Quota {
  ratePerSecond: number;
  burst: number;
}

/** What may be run beyond rate and burst in any window. It is kept for what routers do not hear in time. */
export interface QuotaSlack {
  windowMs: number;
  overageShare: number;
  amount: number;
}

export interface NamedQuota extends Quota {
  name: string;
}

/** What one router has admitted for one workspace in its life. */
export interface QuotaUse {
  name: string;
  /** Less what was given back. */
  sum: number;
  /** What is left in its account; absent where it has just started and does not know. */
  level?: number;
}

/** What another router tells. */
export interface QuotaNews {
  router: string;
  life: string;
  /** It started lately, and does not know what was admitted before. */
  isYoung: boolean;
  uses: readonly QuotaUse[];
}

export type QuotaDecision =
  | { kind: 'admitted' }
  /** Without a time where the account can never hold so much. */
  | { kind: 'limited'; retryAfterMs?: number };

export interface SharedQuotaOptions {
  nowMs: number;
  slack?: QuotaSlack;
  random?: () => number;
}

export interface SharedQuota {
  /** Those in force; others are without limit. */
  setQuotas(quotas: readonly NamedQuota[], nowMs: number): void;
  /** The routers of this one's part, without itself, and how many there are in all parts. */
  setRouters(companions: readonly string[], routerCount: number): void;
  take(name: string, cost: number, nowMs: number): QuotaDecision;
  /** What was taken for a request has certainly not run. */
  giveBack(name: string, cost: number, nowMs: number): void;
  /** Any word of it: whatever it has admitted is known up to now. */
  noteHeard(router: string, nowMs: number): void;
  hear(news: QuotaNews, nowMs: number): void;
  /** It started lately, and does not know what was admitted before. */
  isYoung(nowMs: number): boolean;
  /** It has stopped and admits nothing more. */
  noteLeft(router: string): void;
  /** What was admitted since `sinceMs`, latest first. */
  usesSince(sinceMs: number, nowMs: number): QuotaUse[];
  /** Whether what has not been told yet could matter to others soon. */
  isUrgent(name: string, nowMs: number): boolean;
  noteTold(): void;
  /** What is left of a workspace's account; undefined where it has no limit. */
  level(name: string, nowMs: number): number | undefined;
}

interface Account {
  quota: NamedQuota;
  level: number;
  refilledAtMs: number;
  /** Own spending that others may not have heard. */
  unheard: number;
  /** Own spending since others were last told. */
  untold: number;
  /** The most that one request has asked for. */
  largestAsked: number;
}

interface ToldLevel {
  level: number;
  atMs: number;
}

interface OwnUse {
  sum: number;
  changedAtMs: number;
}

const msPerSecond = 1_000;
const noSlack: QuotaSlack = { windowMs: 0, overageShare: 0, amount: 0 };
/** From spending to the moment at which others have it: gathering, the way, and their own work. */
const hearMs = 100;
/** Of the slack, for what is on its way; the rest is for routers that are cut off or start. */
const unheardShare = 0.5;
/** Of the slack, divided like the burst: without it a part of 24 would hold less than most model requests. */
const groupSlackShare = 0.25;
/** Told at once where all routers that admit as much would take this part of what is left. */
const urgentShare = 0.25;
/** Those refused together come back over this part of their time more. */
const spread = 0.5;
const maxAccounts = 8_192;

export function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const { slack = noSlack, random = Math.random } = options;
  const accounts = new Map<string, Account>();
  const own = createBoundedMap<string, OwnUse>({ maxEntries: maxAccounts });
  const routers = createQuotaRouters(options.nowMs);
  /** Of accounts that are not open yet. */
  const toldLevels = createBoundedMap<string, ToldLevel>({ maxEntries: maxAccounts });
  /** The account is that of a router that was there before. */
  let hasAdopted = false;

  const rateOf = ({ quota }: Account) => quota.ratePerSecond * routers.partShare();
  const burstOf = ({ quota }: Account) => quota.burst * routers.partShare();

  /**
   * A group that does not hear the others has its part of the burst, and of the slack. One request must fit, or callers
   * would be told of a time at which there is room, and there never would be.
   */
  function mostLevel(account: Account, nowMs: number): number {
    const burst = burstOf(account);
    const part = routers.groupShare(nowMs) * (burst + groupSlackShare * slackOf(account));
    return Math.min(burst, Math.max(part, account.largestAsked));
  }

  /** What may be admitted in one window beyond rate and burst, by all routers of the part. */
  function slackOf({ quota }: Account): number {
    const allowed = (quota.ratePerSecond * slack.windowMs) / msPerSecond + quota.burst;
    return routers.partShare() * (slack.overageShare * allowed + slack.amount);
  }

  function refillPerMs(account: Account, nowMs: number): number {
    return (rateOf(account) * routers.groupShare(nowMs)) / msPerSecond;
  }

  function refill(account: Account, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - account.refilledAtMs);
    const more = refillPerMs(account, nowMs) * elapsedMs;
    account.level = Math.min(mostLevel(account, nowMs), account.level + more);
    account.unheard = Math.max(
      0,
      account.unheard - (unheardLimit(account, nowMs) * elapsedMs) / hearMs,
    );
    account.refilledAtMs = nowMs;
  }

  function unheardLimit(account: Account, nowMs: number): number {
    const count = routers.count(nowMs);
    return count === 1 && !routers.isYoung(nowMs)
      ? Infinity
      : Math.max(burstOf(account), unheardShare * slackOf(account)) / count;
  }

  /** A debt beyond the slack would only come of false news: it must not lock a workspace out for long. */
  function debit(account: Account, amount: number, nowMs: number): void {
    refill(account, nowMs);
    const deepest = -Math.max(slackOf(account), burstOf(account));
    account.level = Math.min(burstOf(account), Math.max(deepest, account.level - amount));
  }

  function openAccount(quota: NamedQuota, nowMs: number): Account {
    const account: Account = {
      quota,
      level: 0,
      refilledAtMs: nowMs,
      unheard: 0,
      untold: 0,
      largestAsked: 0,
    };
    account.level = routers.isYoung(nowMs) ? startLevel(account, nowMs) : burstOf(account);
    return account;
  }

  /** What an older router has told, or, where all have started together, what those that are heard bring. */
  function startLevel(account: Account, nowMs: number): number {
    const told = toldLevels.get(account.quota.name);
    const toldNow =
      told === undefined
        ? burstOf(account)
        : told.level + ((nowMs - told.atMs) * rateOf(account)) / msPerSecond;
    return Math.min(mostLevel(account, nowMs), toldNow);
  }

  function setQuotas(quotas: readonly NamedQuota[], nowMs: number): void {
    const wanted = new Set(quotas.map(({ name }) => name));
    [...accounts.keys()]
      .filter((name) => !wanted.has(name))
      .forEach((name) => accounts.delete(name));
    quotas.slice(0, maxAccounts).forEach((quota) => {
      const account = accounts.get(quota.name);
      if (account === undefined) {
        accounts.set(quota.name, openAccount(quota, nowMs));
        return;
      }
      refill(account, nowMs);
      account.quota = quota;
      account.level = Math.min(account.level, burstOf(account));
    });
  }

  function take(name: string, cost: number, nowMs: number): QuotaDecision {
    const account = accounts.get(name);
    if (account !== undefined) {
      account.largestAsked = Math.max(account.largestAsked, cost);
      refill(account, nowMs);
      const decision = decide(account, cost, nowMs);
      if (decision.kind === 'limited') {
        return decision;
      }
    }
    spend(name, cost, nowMs);
    return { kind: 'admitted' };
  }

  function decide(account: Account, cost: number, nowMs: number): QuotaDecision {
    if (cost > burstOf(account)) {
      return { kind: 'limited' };
    }
    if (account.level < cost) {
      const waitMs = (cost - account.level) / refillPerMs(account, nowMs);
      return { kind: 'limited', retryAfterMs: waitMs * (1 + spread * random()) };
    }
    const isUnheard = account.unheard > 0 && account.unheard + cost > unheardLimit(account, nowMs);
    return isUnheard
      ? { kind: 'limited', retryAfterMs: hearMs * (1 + spread * random()) }
      : { kind: 'admitted' };
  }

  function spend(name: string, amount: number, nowMs: number): void {
    const use = own.get(name);
    own.set(name, { sum: (use?.sum ?? 0) + amount, changedAtMs: nowMs });
    const account = accounts.get(name);
    if (account !== undefined) {
      debit(account, amount, nowMs);
      account.unheard = Math.max(0, account.unheard + amount);
      account.untold += amount;
    }
  }

  /** What an account has set aside for a router that was not heard for a while. */
  function presumed(account: Account, { presumedMs }: QuotaRouter, nowMs: number): number {
    return (presumedMs * rateOf(account)) / routers.count(nowMs) / msPerSecond;
  }

  /** Before a router counts as heard again: until now its even part was set aside. */
  function refillAll(nowMs: number): void {
    accounts.forEach((account) => refill(account, nowMs));
  }

  function hearUse({ name, sum }: QuotaUse, router: QuotaRouter, nowMs: number): void {
    const more = sum - (router.sums.get(name) ?? 0);
    router.sums.set(name, sum);
    const account = accounts.get(name);
    if (account === undefined) {
      changeToldLevel(name, -more);
    } else {
      debit(account, more > 0 ? Math.max(0, more - presumed(account, router, nowMs)) : more, nowMs);
    }
  }

  /** What an older router has left counts what all have spent, but for what this one has not told it. */
  function adoptLevel({ name, sum, level }: QuotaUse, router: QuotaRouter, nowMs: number): void {
    router.sums.set(name, sum);
    const account = accounts.get(name);
    if (level === undefined) {
      return;
    }
    if (account === undefined) {
      toldLevels.set(name, { level, atMs: nowMs });
      return;
    }
    refill(account, nowMs);
    const remaining = level - account.untold;
    account.level =
      routers.isYoung(nowMs) && !hasAdopted ? remaining : Math.min(account.level, remaining);
  }

  function changeToldLevel(name: string, change: number): void {
    const told = toldLevels.get(name);
    if (told !== undefined) {
      told.level += change;
    }
  }

  /** Routers that start together share what each brings. */
  function addBurstOfYoung(nowMs: number): void {
    accounts.forEach((account) => {
      refill(account, nowMs);
      const brought = burstOf(account) / routers.count(nowMs);
      account.level = Math.min(mostLevel(account, nowMs), account.level + brought);
    });
  }

  function hear(
    { router: address, life, isYoung: isItYoung, uses }: QuotaNews,
    nowMs: number,
  ): void {
    const lifeBefore = routers.get(address)?.life;
    const isNewLife = lifeBefore !== life;
    const router = noteHeard(address, nowMs);
    if (isNewLife) {
      routers.noteNewLife(address, life);
    }
    if (isNewLife && isItYoung && routers.isYoung(nowMs) && !hasAdopted) {
      addBurstOfYoung(nowMs);
    }
    const isOlder = lifeBefore === undefined && !isItYoung;
    const takeUse = isOlder ? adoptLevel : hearUse;
    uses.slice(0, maxAccounts).forEach((use) => takeUse(use, router, nowMs));
    hasAdopted ||= isOlder;
    router.presumedMs = 0;
  }

  function noteHeard(address: string, nowMs: number): QuotaRouter {
    if (routers.isSilent(address, nowMs)) {
      refillAll(nowMs);
    }
    return routers.note(address, nowMs);
  }

  function levelOf(name: string, nowMs: number): number | undefined {
    const account = accounts.get(name);
    if (account === undefined) {
      return undefined;
    }
    refill(account, nowMs);
    return account.level;
  }

  function levelToTell(name: string, nowMs: number): number | undefined {
    return routers.isYoung(nowMs) ? undefined : levelOf(name, nowMs);
  }

  return {
    setQuotas,
    setRouters: routers.set,
    take,
    giveBack: (name, cost, nowMs) => spend(name, -cost, nowMs),
    noteHeard,
    hear,
    isYoung: routers.isYoung,
    noteLeft: routers.noteLeft,
    usesSince: (sinceMs, nowMs) =>
      [...own.entries()]
        .filter(([, { changedAtMs }]) => changedAtMs >= sinceMs)
        .reverse()
        .map(([name, { sum }]) => ({ name, sum, level: levelToTell(name, nowMs) })),
    isUrgent(name, nowMs) {
      const account = accounts.get(name);
      const alike = (account?.untold ?? 0) * routers.count(nowMs);
      return account !== undefined && alike > urgentShare * Math.max(0, account.level);
    },
    noteTold: () =>
      accounts.forEach((account) => {
        account.untold = 0;
      }),
    level: levelOf,
  };
}
