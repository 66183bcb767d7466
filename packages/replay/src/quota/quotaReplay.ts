/** Replays a load for one workspace's quota before a fleet of routers that keep it in one of several ways. */
import { createSeededRandom, rotateRandomly, type Random } from '@bluebellhitch/shared';
import type { QuotaAnnouncement } from '@bluebellhitch/decisions';
import { demandAt, isAt, limitFactorAt, type QuotaLoad, type QuotaStep } from './quotaLoad';
import { createQuotaKeeper, type QuotaKeeper, type QuotaWay } from './quotaWays';

export interface QuotaReplayOptions {
  load: QuotaLoad;
  way: QuotaWay;
  seed: number;
}

export interface QuotaFigures {
  asked: number;
  admitted: number;
  /** Of what one account that all routers shared at once would admit: what was admitted of the same requests. */
  owed: number;
  owedAdmitted: number;
  /** The window in which most was admitted, over what is allowed in it. */
  worstWindowShare: number;
  datagrams: number;
}

interface Datagram {
  arrivesAtMs: number;
  news: QuotaAnnouncement;
}

interface Router {
  address: string;
  life: string;
  keeper: QuotaKeeper;
  inbox: Datagram[];
  /** Lives of others that were told what is left. */
  greeted: Set<string>;
  beatAtMs: number;
  factor: number;
}

interface Admission {
  atMs: number;
  cost: number;
}

/** As large as a part of a fleet may be: only routers of one part tell each other. */
const mostInPart = 40;
const tickMs = 5;
const mostAsked = 2;
const heartbeatMs = 1_000;
const msPerSecond = 1_000;

export function runQuotaReplay({ load, way, seed }: QuotaReplayOptions): QuotaFigures {
  const random = createSeededRandom(seed);
  const addresses = Array.from({ length: load.routers }, (_none, n) => `r${n}`);
  const partCount = Math.ceil(load.routers / mostInPart);
  const parts = Array.from({ length: partCount }, (_none, part) =>
    addresses.filter((_address, at) => at % partCount === part),
  );
  const partOf = (address: string) =>
    parts[Number(address.slice(1)) % partCount] as readonly string[];
  const befallen = createChoices(load, addresses, random);
  const ideal = createIdealAccount(load);
  const admissions: Admission[] = [];
  const figures = { asked: 0, admitted: 0, owed: 0, owedAdmitted: 0, datagrams: 0 };
  const routers = addresses.map((address) => startRouter(address, 0));
  let owing = 0;

  function startRouter(address: string, nowMs: number): Router {
    const keeper = createQuotaKeeper(way, {
      nowMs,
      slack: load.slack,
      routers: partOf(address),
      allRouters: addresses,
      ownAddress: address,
      random,
    });
    const factor = limitFactorAt(load, nowMs);
    keeper.setLimit(limitOf(load, factor), nowMs);
    const life = `${address}-${nowMs}`;
    const beatAtMs = nowMs + random() * heartbeatMs;
    return { address, life, keeper, inbox: [], greeted: new Set(), beatAtMs, factor };
  }

  function tell(router: Router, nowMs: number, to?: string): void {
    const { address, life, keeper } = router;
    const isYoung = keeper.isYoung(nowMs);
    const news = { router: address, life, isYoung, uses: keeper.tell(nowMs) };
    (to === undefined ? partOf(address) : [to])
      .filter((other) => other !== address && befallen.hear(address, other, nowMs))
      .filter(() => random() >= load.lostShare)
      .forEach((other) => {
        figures.datagrams += 1;
        const arrivesAtMs = nowMs + load.delayMs * (0.5 + random());
        routerAt(other).inbox.push({ arrivesAtMs, news });
      });
  }

  const routerAt = (address: string) => routers[Number(address.slice(1))] as Router;

  function readInbox(router: Router, nowMs: number): void {
    if (router.inbox.length === 0) {
      return;
    }
    const due = router.inbox.filter(({ arrivesAtMs }) => arrivesAtMs <= nowMs);
    router.inbox = router.inbox.filter(({ arrivesAtMs }) => arrivesAtMs > nowMs);
    due.forEach(({ news }) => {
      router.keeper.hear(news, nowMs);
      if (!router.greeted.has(news.life)) {
        router.greeted.add(news.life);
        tell(router, nowMs, news.router);
      }
    });
  }

  /** Each question and each answer may be lost. */
  function askIssuers({ address, keeper }: Router, nowMs: number): boolean {
    const issuers = keeper.issuers?.(nowMs) ?? [];
    return rotateRandomly(issuers, random)
      .slice(0, mostAsked)
      .some((issuer) => {
        const isHeard = befallen.hear(address, issuer, nowMs) && !befallen.isPaused(issuer, nowMs);
        figures.datagrams += 2;
        return (
          isHeard &&
          random() >= load.lostShare &&
          routerAt(issuer).keeper.grant?.(nowMs) === true &&
          random() >= load.lostShare
        );
      });
  }

  function request(router: Router, nowMs: number): void {
    const { least, most } = load.cost;
    const cost = Math.round(least + (most - least) * random());
    const isOwed = ideal(cost, nowMs);
    const isAdmitted = router.keeper.take(cost, nowMs) || askIssuers(router, nowMs);
    figures.asked += cost;
    figures.owed += isOwed ? cost : 0;
    if (isAdmitted) {
      figures.admitted += cost;
      figures.owedAdmitted += isOwed ? cost : 0;
      admissions.push({ atMs: nowMs, cost });
    }
    if (router.keeper.isUrgent(nowMs)) {
      tell(router, nowMs);
    }
  }

  function step(nowMs: number): void {
    befallen.restartedAt(nowMs).forEach((address) => {
      const at = addresses.indexOf(address);
      routers[at] = startRouter(address, nowMs);
    });
    const awake = befallen.isAnyPaused(nowMs)
      ? routers.filter(({ address }) => !befallen.isPaused(address, nowMs))
      : routers;
    const meanCost = (load.cost.least + load.cost.most) / 2;
    owing += (demandAt(load, nowMs) * tickMs) / msPerSecond / meanCost;
    // A router that wakes may take a request before it reads what has come meanwhile.
    while (owing >= 1) {
      owing -= 1;
      const at = random() < load.shareAtOne ? 0 : Math.floor(random() * routers.length);
      const router = routers[at];
      if (router !== undefined && !befallen.isPaused(router.address, nowMs)) {
        request(router, nowMs);
      }
    }
    awake.forEach((router) => {
      readInbox(router, nowMs);
      const factor = limitFactorAt(load, nowMs);
      if (factor !== router.factor) {
        router.factor = factor;
        router.keeper.setLimit(limitOf(load, factor), nowMs);
      }
      if (nowMs >= router.beatAtMs) {
        router.beatAtMs = nowMs + heartbeatMs;
        tell(router, nowMs);
      }
    });
  }

  for (let nowMs = 0; nowMs < load.seconds * msPerSecond; nowMs += tickMs) {
    step(nowMs);
  }
  return { ...figures, worstWindowShare: worstWindow(load, admissions) };
}

function limitOf({ ratePerSecond, burst }: QuotaLoad, factor: number) {
  return { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
}

/** Which routers each step befalls. */
function createChoices(load: QuotaLoad, addresses: readonly string[], random: Random) {
  const chosen = load.steps.map((step) => {
    const share = 'share' in step ? step.share : 0;
    return { step, routers: new Set(addresses.filter(() => random() < share)) };
  });
  const groupOf = new Map(addresses.map((address) => [address, random()]));

  function isApart(step: QuotaStep, routers: Set<string>, from: string, to: string): boolean {
    switch (step.kind) {
      case 'cut':
        return routers.has(from) || routers.has(to);
      case 'split': {
        const group = (address: string) => Math.floor((groupOf.get(address) ?? 0) * step.groups);
        return group(from) !== group(to);
      }
      default:
        return false;
    }
  }

  const now = (nowMs: number) => chosen.filter(({ step }) => 'forMs' in step && isAt(step, nowMs));

  return {
    hear: (from: string, to: string, nowMs: number) =>
      !now(nowMs).some(({ step, routers }) => isApart(step, routers, from, to)),
    isAnyPaused: (nowMs: number) => now(nowMs).some(({ step }) => step.kind === 'pause'),
    isPaused: (address: string, nowMs: number) =>
      chosen.some(
        ({ step, routers }) => step.kind === 'pause' && isAt(step, nowMs) && routers.has(address),
      ),
    restartedAt: (nowMs: number) =>
      chosen.flatMap(({ step, routers }) =>
        step.kind === 'restart' && step.atMs >= nowMs && step.atMs < nowMs + tickMs
          ? [...routers]
          : [],
      ),
  };
}

/** What one account for all would say, without any delay. */
function createIdealAccount(load: QuotaLoad): (cost: number, nowMs: number) => boolean {
  let level = load.burst;
  let filledAtMs = 0;
  return (cost, nowMs) => {
    const { ratePerSecond, burst } = limitOf(load, limitFactorAt(load, nowMs));
    level = Math.min(burst, level + ((nowMs - filledAtMs) * ratePerSecond) / msPerSecond);
    filledAtMs = nowMs;
    if (level < cost) {
      return false;
    }
    level -= cost;
    return true;
  };
}

/** A lower limit binds from one window after it is in force. */
function worstWindow(load: QuotaLoad, admissions: readonly Admission[]): number {
  const { windowMs, overageShare, amount } = load.slack;
  let sum = 0;
  let first = 0;
  return admissions.reduce((worst, { atMs, cost }) => {
    sum += cost;
    while ((admissions[first]?.atMs ?? Infinity) <= atMs - windowMs) {
      sum -= admissions[first]?.cost ?? 0;
      first += 1;
    }
    const factor = Math.max(limitFactorAt(load, atMs), limitFactorAt(load, atMs - windowMs));
    const { ratePerSecond, burst } = limitOf(load, factor);
    const allowed =
      ((ratePerSecond * windowMs) / msPerSecond + burst) * (1 + overageShare) + amount;
    return Math.max(worst, sum / allowed);
  }, 0);
}
