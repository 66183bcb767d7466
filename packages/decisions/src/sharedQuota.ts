/**
 * One account for each workspace, kept by all routers together without a call per request. Answers workspaces that send
 * far more than their quota through every router at once, also while routers are cut off from each other, restarted
 * or frozen. Each router keeps the whole account (a bucket filled at the rate, of the size of the burst) and debits what
 * it admits and what others tell that they admitted. Told are sums of one life of a router, never differences, so that
 * a lost or late message is healed by the next.
 *
 * Largest sum admitted in any time T, over all routers of a part of n, with E = overage x (rate x T + burst) + slack:
 * - Heard: an account that is at least zero after a request has admitted at most rate x T + burst, as far as it knows.
 * - On its way: what the others admit until it is heard. Each spends at most `unheardShare` x E / n in `hearMs` before
 *   it is heard, so all of them together that share of E: 50%.
 * - Not heard: who has been silent for `silentMs` is taken to spend its even part, rate / n, and spends no more once it
 *   counts all others as silent itself. Before that each side spends at the rate of what callers ask: with 8 of 24 cut
 *   off, at most the rate x 1.5 s x 1/3.
 * - Forgotten: a router that starts has E / 32 until others tell it more, and each counts it as new: what it
 *   admitted before is known to the others as far as it was heard.
 * What is not bounded: a fleet in which all n routers are cut off from each other at the same moment, while one workspace
 * sends its whole rate to each, may admit n times the rate for the first 1.5 s.
 */
import { createBoundedMap } from './boundedMap';

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
  hear(router: string, life: string, uses: readonly QuotaUse[], nowMs: number): void;
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
}

interface OwnUse {
  sum: number;
  changedAtMs: number;
}

interface Router {
  life?: string;
  heardAtMs: number;
  /** For which its even part was set aside, since it last told what it admitted. */
  presumedMs: number;
  sums: Map<string, number>;
}

const msPerSecond = 1_000;
const noSlack: QuotaSlack = { windowMs: 0, overageShare: 0, amount: 0 };
/** From spending to the moment at which others have it: gathering, the way, and their own work. */
const hearMs = 100;
const unheardShare = 0.5;
const groupSlackShare = 0.25;
/** A router is heard once a second; half a second more for its way. */
const silentMs = 1_500;
/** Routers hear all others of their part within this time of their start. */
const youngMs = 2_500;
/** A router that starts does not know how many there are: as many as a part may have, about. */
const assumedRouters = 32;
/** Part of the slack that each router may use up with every start. */
const startShare = 1 / 32;
/** Told at once where all routers that admit as much would take this part of what is left. */
const urgentShare = 0.25;
/** Those refused together come back over this part of their time more. */
const spread = 0.5;
const maxAccounts = 8_192;
const maxRouters = 512;

export function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const { slack = noSlack, random = Math.random, nowMs: startedAtMs } = options;
  const accounts = new Map<string, Account>();
  const own = createBoundedMap<string, OwnUse>({ maxEntries: maxAccounts });
  const routers = createBoundedMap<string, Router>({ maxEntries: maxRouters });
  /** Said to have stopped; they count again with their next life. */
  const left = new Set<string>();
  let companions: readonly string[] = [];
  let partShare = 1;

  const isYoung = (nowMs: number) => nowMs - startedAtMs < youngMs;

  function routerCount(nowMs: number): number {
    return Math.max(companions.length + 1, isYoung(nowMs) ? assumedRouters : 1);
  }

  function heardCount(nowMs: number): number {
    return companions.filter((router) => !isSilent(routers.get(router), nowMs)).length;
  }

  function isSilent(router: Router | undefined, nowMs: number): boolean {
    return router === undefined || nowMs - router.heardAtMs > silentMs;
  }

  const rateOf = ({ quota }: Account) => quota.ratePerSecond * partShare;
  const burstOf = ({ quota }: Account) => quota.burst * partShare;

  /** Of rate and burst, for the routers that are heard; the silent ones are taken to spend the rest. */
  function groupShare(nowMs: number): number {
    return Math.min(1, (heardCount(nowMs) + 1) / routerCount(nowMs));
  }

  /** A group that does not hear the others has its part of the burst, and of the slack: one request must fit. */
  function mostLevel(account: Account, nowMs: number): number {
    const burst = burstOf(account);
    const share = groupShare(nowMs);
    return Math.min(burst, share * (burst + groupSlackShare * slackOf(account)));
  }

  /** What may be admitted in one window beyond rate and burst, by all routers of the part. */
  function slackOf({ quota }: Account): number {
    const allowed = (quota.ratePerSecond * slack.windowMs) / msPerSecond + quota.burst;
    return partShare * (slack.overageShare * allowed + slack.amount);
  }

  function refillPerMs(account: Account, nowMs: number): number {
    return (rateOf(account) * groupShare(nowMs)) / msPerSecond;
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
    const routersKnown = routerCount(nowMs);
    return routersKnown === 1 && !isYoung(nowMs)
      ? Infinity
      : Math.max(burstOf(account), unheardShare * slackOf(account)) / routersKnown;
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
    };
    const startLevel = Math.max(slackOf(account), burstOf(account)) * startShare;
    account.level = isYoung(nowMs) ? Math.min(burstOf(account), startLevel) : burstOf(account);
    return account;
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

  function knowRouter(address: string, nowMs: number): Router {
    const router = routers.getOrCreate(address, () => ({
      heardAtMs: nowMs,
      presumedMs: 0,
      sums: new Map(),
    }));
    router.presumedMs += Math.max(0, nowMs - router.heardAtMs - silentMs);
    router.heardAtMs = Math.max(router.heardAtMs, nowMs);
    return router;
  }

  /** What an account has set aside for a router that was not heard for a while. */
  function presumed(account: Account, { presumedMs }: Router, nowMs: number): number {
    return (presumedMs * rateOf(account)) / routerCount(nowMs) / msPerSecond;
  }

  /** Before a router counts as heard again: until now its even part was set aside. */
  function refillAll(nowMs: number): void {
    accounts.forEach((account) => refill(account, nowMs));
  }

  function hearUse(router: Router, use: QuotaUse, isKnown: boolean, nowMs: number): void {
    const { name, sum, level } = use;
    const before = router.sums.get(name);
    router.sums.set(name, sum);
    const account = accounts.get(name);
    if (account === undefined) {
      return;
    }
    if (before !== undefined || isKnown || level === undefined) {
      const more = sum - (before ?? 0);
      debit(account, more > 0 ? Math.max(0, more - presumed(account, router, nowMs)) : more, nowMs);
      return;
    }
    // Its sum is of a time before this router listened: what it has left counts what all have spent.
    refill(account, nowMs);
    account.level = Math.min(account.level, level);
  }

  function hear(address: string, life: string, uses: readonly QuotaUse[], nowMs: number): void {
    const isFirst = routers.get(address)?.life === undefined;
    if (routers.get(address)?.life !== life) {
      left.delete(address);
    }
    noteHeard(address, nowMs);
    const router = knowRouter(address, nowMs);
    if (router.life !== life) {
      router.life = life;
      router.sums.clear();
    }
    uses.slice(0, maxAccounts).forEach((use) => hearUse(router, use, !isFirst, nowMs));
    router.presumedMs = 0;
  }

  function noteHeard(address: string, nowMs: number): void {
    if (isSilent(routers.get(address), nowMs)) {
      refillAll(nowMs);
    }
    knowRouter(address, nowMs);
  }

  return {
    setQuotas,
    setRouters(next, count) {
      companions = next.filter((address) => !left.has(address));
      partShare = Math.min(1, (next.length + 1) / Math.max(1, count));
    },
    take,
    giveBack: (name, cost, nowMs) => spend(name, -cost, nowMs),
    noteHeard,
    hear,
    noteLeft(address) {
      left.add(address);
      companions = companions.filter((companion) => companion !== address);
    },
    usesSince: (sinceMs, nowMs) =>
      [...own.entries()]
        .filter(([, { changedAtMs }]) => changedAtMs >= sinceMs)
        .reverse()
        .map(([name, { sum }]) => ({ name, sum, level: levelToTell(name, nowMs) })),
    isUrgent(name, nowMs) {
      const account = accounts.get(name);
      const alike = (account?.untold ?? 0) * routerCount(nowMs);
      return account !== undefined && alike > urgentShare * Math.max(0, account.level);
    },
    noteTold: () =>
      accounts.forEach((account) => {
        account.untold = 0;
      }),
    level(name, nowMs) {
      const account = accounts.get(name);
      if (account === undefined) {
        return undefined;
      }
      refill(account, nowMs);
      return account.level;
    },
  };

  function levelToTell(name: string, nowMs: number): number | undefined {
    const account = accounts.get(name);
    if (account === undefined || isYoung(nowMs)) {
      return undefined;
    }
    refill(account, nowMs);
    return account.level;
  }
}
