/** Replays a load on one workspace's quota, enforced by a fleet of routers with one of several strategies. */
import { createSeededRandom, rotateRandomly, type Random } from '@bluebellhitch/shared';
import type { QuotaAnnouncement } from '@bluebellhitch/decisions';
import { demandAt, isActiveAt, limitFactorAt, type QuotaLoad, type QuotaStep } from './quotaLoad';
import { createQuotaLimiter, type QuotaLimiter, type QuotaStrategy } from './quotaStrategies';

export interface QuotaReplayOptions {
  load: QuotaLoad;
  strategy: QuotaStrategy;
  seed: number;
}

export interface QuotaFigures {
  asked: number;
  admitted: number;
  /** Cost that one token bucket shared by all routers without delay would admit. */
  owed: number;
  /** The part of `owed` that was admitted. */
  owedAdmitted: number;
  /** Cost admitted in the worst window, divided by the cost allowed in it. */
  worstWindowShare: number;
  datagrams: number;
}

interface Datagram {
  arrivesAtMs: number;
  announcement: QuotaAnnouncement;
}

interface Router {
  address: string;
  incarnation: string;
  limiter: QuotaLimiter;
  inbox: Datagram[];
  /** Incarnations of other routers that have been sent this router's uses. */
  greetedIncarnations: Set<string>;
  nextHeartbeatAtMs: number;
  factor: number;
}

interface Admission {
  atMs: number;
  cost: number;
}

/** Maximum size of a shard: only routers of the same shard exchange announcements. */
const maxRoutersPerShard = 40;
const tickMs = 5;
const maxIssuersAsked = 2;
const heartbeatMs = 1_000;
const msPerSecond = 1_000;

export function runQuotaReplay({ load, strategy, seed }: QuotaReplayOptions): QuotaFigures {
  const random = createSeededRandom(seed);
  const addresses = Array.from({ length: load.routers }, (_none, n) => `r${n}`);
  const shardCount = Math.ceil(load.routers / maxRoutersPerShard);
  const shards = Array.from({ length: shardCount }, (_none, shard) =>
    addresses.filter((_address, index) => index % shardCount === shard),
  );
  const shardOf = (address: string) =>
    shards[Number(address.slice(1)) % shardCount] as readonly string[];
  const faults = createFaults(load, addresses, random);
  const takeFromIdealBucket = createIdealBucket(load);
  const admissions: Admission[] = [];
  const figures = { asked: 0, admitted: 0, owed: 0, owedAdmitted: 0, datagrams: 0 };
  const routers = addresses.map((address) => startRouter(address, 0));
  let dueRequests = 0;

  function startRouter(address: string, nowMs: number): Router {
    const limiter = createQuotaLimiter(strategy, {
      nowMs,
      slack: load.slack,
      routers: shardOf(address),
      allRouters: addresses,
      ownAddress: address,
      random,
    });
    const factor = limitFactorAt(load, nowMs);
    limiter.setLimit(limitOf(load, factor), nowMs);
    const incarnation = `${address}-${nowMs}`;
    const nextHeartbeatAtMs = nowMs + random() * heartbeatMs;
    return {
      address,
      incarnation,
      limiter,
      inbox: [],
      greetedIncarnations: new Set(),
      nextHeartbeatAtMs,
      factor,
    };
  }

  function announce(router: Router, nowMs: number, to?: string): void {
    const { address, incarnation, limiter } = router;
    const isYoung = limiter.isWarmingUp(nowMs);
    const announcement = {
      router: address,
      life: incarnation,
      isYoung,
      uses: limiter.collectUses(nowMs),
    };
    (to === undefined ? shardOf(address) : [to])
      .filter((other) => other !== address && faults.canReach(address, other, nowMs))
      .filter(() => random() >= load.lostShare)
      .forEach((other) => {
        figures.datagrams += 1;
        const arrivesAtMs = nowMs + load.delayMs * (0.5 + random());
        routerAt(other).inbox.push({ arrivesAtMs, announcement });
      });
  }

  const routerAt = (address: string) => routers[Number(address.slice(1))] as Router;

  function readInbox(router: Router, nowMs: number): void {
    if (router.inbox.length === 0) {
      return;
    }
    const due = router.inbox.filter(({ arrivesAtMs }) => arrivesAtMs <= nowMs);
    router.inbox = router.inbox.filter(({ arrivesAtMs }) => arrivesAtMs > nowMs);
    due.forEach(({ announcement }) => {
      router.limiter.applyRemote(announcement, nowMs);
      if (!router.greetedIncarnations.has(announcement.life)) {
        router.greetedIncarnations.add(announcement.life);
        announce(router, nowMs, announcement.router);
      }
    });
  }

  /** Each permit request and each response may be lost. */
  function askIssuers({ address, limiter }: Router, nowMs: number): boolean {
    const issuers = limiter.issuers?.(nowMs) ?? [];
    return rotateRandomly(issuers, random)
      .slice(0, maxIssuersAsked)
      .some((issuer) => {
        const isReachable =
          faults.canReach(address, issuer, nowMs) && !faults.isPaused(issuer, nowMs);
        figures.datagrams += 2;
        return (
          isReachable &&
          random() >= load.lostShare &&
          routerAt(issuer).limiter.grant?.(nowMs) === true &&
          random() >= load.lostShare
        );
      });
  }

  function handleRequest(router: Router, nowMs: number): void {
    const { min, max } = load.cost;
    const cost = Math.round(min + (max - min) * random());
    const isOwed = takeFromIdealBucket(cost, nowMs);
    const isAdmitted = router.limiter.take(cost, nowMs) || askIssuers(router, nowMs);
    figures.asked += cost;
    figures.owed += isOwed ? cost : 0;
    if (isAdmitted) {
      figures.admitted += cost;
      figures.owedAdmitted += isOwed ? cost : 0;
      admissions.push({ atMs: nowMs, cost });
    }
    if (router.limiter.isUrgent(nowMs)) {
      announce(router, nowMs);
    }
  }

  function step(nowMs: number): void {
    faults.restartsAt(nowMs).forEach((address) => {
      const routerIndex = addresses.indexOf(address);
      routers[routerIndex] = startRouter(address, nowMs);
    });
    const runningRouters = faults.isAnyPaused(nowMs)
      ? routers.filter(({ address }) => !faults.isPaused(address, nowMs))
      : routers;
    const meanCost = (load.cost.min + load.cost.max) / 2;
    dueRequests += (demandAt(load, nowMs) * tickMs) / msPerSecond / meanCost;
    // A router that resumes after a pause can handle a request before it reads its queued datagrams.
    while (dueRequests >= 1) {
      dueRequests -= 1;
      const routerIndex = random() < load.shareAtOne ? 0 : Math.floor(random() * routers.length);
      const router = routers[routerIndex];
      if (router !== undefined && !faults.isPaused(router.address, nowMs)) {
        handleRequest(router, nowMs);
      }
    }
    runningRouters.forEach((router) => {
      readInbox(router, nowMs);
      const factor = limitFactorAt(load, nowMs);
      if (factor !== router.factor) {
        router.factor = factor;
        router.limiter.setLimit(limitOf(load, factor), nowMs);
      }
      if (nowMs >= router.nextHeartbeatAtMs) {
        router.nextHeartbeatAtMs = nowMs + heartbeatMs;
        announce(router, nowMs);
      }
    });
  }

  for (let nowMs = 0; nowMs < load.seconds * msPerSecond; nowMs += tickMs) {
    step(nowMs);
  }
  return { ...figures, worstWindowShare: maxWindowShare(load, admissions) };
}

function limitOf({ ratePerSecond, burst }: QuotaLoad, factor: number) {
  return { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
}

/** Draws which routers each step affects. */
function createFaults(load: QuotaLoad, addresses: readonly string[], random: Random) {
  const affected = load.steps.map((step) => {
    const share = 'share' in step ? step.share : 0;
    return { step, routers: new Set(addresses.filter(() => random() < share)) };
  });
  const groupOf = new Map(addresses.map((address) => [address, random()]));

  function isSeparated(step: QuotaStep, routers: Set<string>, from: string, to: string): boolean {
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

  const activeSteps = (nowMs: number) =>
    affected.filter(({ step }) => 'forMs' in step && isActiveAt(step, nowMs));

  return {
    canReach: (from: string, to: string, nowMs: number) =>
      !activeSteps(nowMs).some(({ step, routers }) => isSeparated(step, routers, from, to)),
    isAnyPaused: (nowMs: number) => activeSteps(nowMs).some(({ step }) => step.kind === 'pause'),
    isPaused: (address: string, nowMs: number) =>
      affected.some(
        ({ step, routers }) =>
          step.kind === 'pause' && isActiveAt(step, nowMs) && routers.has(address),
      ),
    restartsAt: (nowMs: number) =>
      affected.flatMap(({ step, routers }) =>
        step.kind === 'restart' && step.atMs >= nowMs && step.atMs < nowMs + tickMs
          ? [...routers]
          : [],
      ),
  };
}

/** Decides as one token bucket shared by all routers without delay. */
function createIdealBucket(load: QuotaLoad): (cost: number, nowMs: number) => boolean {
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

/** A lowered limit is enforced from one window after it applies. */
function maxWindowShare(load: QuotaLoad, admissions: readonly Admission[]): number {
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
