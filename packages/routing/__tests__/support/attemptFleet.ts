/**
 * Model of a fleet whose routers make further attempts of one service, each with its own budget. Records when requests
 * were sent and when further attempts arrived at servers, and compares every window with what is allowed.
 */
import { createAttemptBudget, createFleetShares } from '@bluebellhitch/routing';
import { createSeededRandom, type Random } from '@bluebellhitch/shared';

export interface AttemptFleetOptions {
  seed: number;
  routerCount: number;
  /** Further attempts that all routers may make in a window beyond the ratio. */
  allowance: number;
  requestsPerSecond: number;
  /** Share of first prefill calls that are rejected; the others are accepted. */
  rejectedShare: number;
  /** Time until a first prefill call is accepted or rejected. */
  callMs: number;
  /** Share of requests that want a further attempt after that, as often as they get one. */
  failedShare: number;
  /** Longest time that a further attempt waits for memory before it is sent. */
  maxWaitMs: number;
  /** The rate is multiplied by the factor between the two times. */
  burst?: { fromMs: number; untilMs: number; factor: number };
  /** When all routers are killed and start again. */
  restartsAtMs?: readonly number[];
  /** Time from a router's start until it knows all others; it starts with its seeds and discovers them steadily. */
  discoveryMs?: number;
  /** Time from a router's start after which it knows its seeds only, without contact to any router. */
  isolatedFromMs?: number;
  /** Requests sent earlier get what they need with their first call. */
  failsFromMs?: number;
  durationMs?: number;
}

export interface AttemptFleetResult {
  furtherAttempts: number;
  /** Largest share of the allowed further attempts that arrived in a window; above 1 the budget is exceeded. */
  fullestShare: number;
}

const ratio = 0.2;
const windowMs = 10_000;
const stepMs = 10;
const seedCount = 3;
const maxAttemptsPerRequest = 2;

export function playAttemptFleet(options: AttemptFleetOptions): AttemptFleetResult {
  const { durationMs = 30_000, restartsAtMs = [] } = options;
  const random = createSeededRandom(options.seed);
  const requestsAtMs: number[] = [];
  const arrivalsAtMs: number[] = [];
  const scheduled = new Map<number, (() => void)[]>();
  const env: RouterEnvironment = {
    options,
    random,
    schedule(atMs, run) {
      const stepAtMs = nextStepMs(atMs);
      scheduled.set(stepAtMs, [...(scheduled.get(stepAtMs) ?? []), run]);
    },
    recordArrival: (atMs) => arrivalsAtMs.push(atMs),
  };
  const startRouters = (nowMs: number) =>
    Array.from({ length: options.routerCount }, () => createModelRouter(env, nowMs));
  let routers = startRouters(0);
  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    if (restartsAtMs.includes(nowMs)) {
      routers.forEach((router) => router.kill());
      routers = startRouters(nowMs);
    }
    scheduled.get(nowMs)?.forEach((run) => run());
    scheduled.delete(nowMs);
    const count = requestCount(options, nowMs, random);
    for (let index = 0; index < count; index += 1) {
      requestsAtMs.push(nowMs);
      routers[Math.floor(random() * routers.length)]?.serve(nowMs);
    }
  }
  return {
    furtherAttempts: arrivalsAtMs.length,
    fullestShare: fullestShare(arrivalsAtMs, requestsAtMs, options.allowance),
  };
}

/** Events take place at the next step after their time, so none is scheduled for the step that is being played. */
function nextStepMs(atMs: number): number {
  return (Math.floor(atMs / stepMs) + 1) * stepMs;
}

interface RouterEnvironment {
  options: AttemptFleetOptions;
  random: Random;
  schedule(atMs: number, run: () => void): void;
  recordArrival(atMs: number): void;
}

function createModelRouter(env: RouterEnvironment, startedAtMs: number) {
  const { options, random } = env;
  const { discoveryMs = 0, isolatedFromMs = Infinity, failsFromMs = 0 } = options;
  let isKilled = false;
  let nowMs = startedAtMs;
  function routerCount(): number {
    const uptimeMs = nowMs - startedAtMs;
    const firstKnown = Math.min(options.routerCount, seedCount + 1);
    if (uptimeMs >= isolatedFromMs) {
      return firstKnown;
    }
    const discoveredShare = discoveryMs === 0 ? 1 : Math.min(1, uptimeMs / discoveryMs);
    return firstKnown + Math.floor((options.routerCount - firstKnown) * discoveredShare);
  }
  const shares = createFleetShares({
    fleetShard: { shardPeers: () => [], shardCount: () => 1 },
    routerCount,
  });
  const budget = createAttemptBudget({
    ratio,
    allowance: () => shares.furtherAttempts(options.allowance),
    windowMs,
    startedAtMs,
  });

  /** Runs in `delayMs`, unless the router has been killed by then. */
  function later(delayMs: number, run: () => void): void {
    const atMs = nowMs + delayMs;
    env.schedule(atMs, () => {
      if (!isKilled) {
        nowMs = nextStepMs(atMs);
        run();
      }
    });
  }

  function callPrefill(): void {
    const reservation = budget.reserve('s', nowMs);
    if (reservation === undefined) {
      maybeRetry(0);
      return;
    }
    const isRejected = hasFailures() && random() < options.rejectedShare;
    if (isRejected) {
      env.recordArrival(nowMs);
    }
    later(options.callMs, () => {
      if (isRejected) {
        reservation.use(nowMs);
      } else {
        reservation.release();
      }
      maybeRetry(0);
    });
  }

  const hasFailures = () => nowMs >= failsFromMs;

  function maybeRetry(attemptCount: number): void {
    const hasFailed = hasFailures() && random() < options.failedShare;
    if (hasFailed && attemptCount < maxAttemptsPerRequest) {
      retry(attemptCount);
    }
  }

  function retry(attemptCount: number): void {
    const reservation = budget.reserve('s', nowMs);
    if (reservation === undefined) {
      return;
    }
    later(random() * options.maxWaitMs, () => {
      reservation.release();
      if (!budget.tryTake('s', nowMs)) {
        return;
      }
      env.recordArrival(nowMs);
      later(options.callMs, () => maybeRetry(attemptCount + 1));
    });
  }

  return {
    serve(atMs: number) {
      nowMs = atMs;
      budget.recordRequest('s', nowMs);
      callPrefill();
    },
    kill() {
      isKilled = true;
    },
  };
}

function requestCount(
  { requestsPerSecond, burst }: AttemptFleetOptions,
  nowMs: number,
  random: Random,
): number {
  const isBurst = burst !== undefined && nowMs >= burst.fromMs && nowMs < burst.untilMs;
  const expected = (requestsPerSecond * (isBurst ? burst.factor : 1) * stepMs) / 1_000;
  return Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
}

function fullestShare(
  arrivalsAtMs: readonly number[],
  requestsAtMs: readonly number[],
  allowance: number,
): number {
  const arrivedUntil = countByStep(arrivalsAtMs);
  const sentUntil = countByStep(requestsAtMs);
  const inWindow = (countUntil: (timeMs: number) => number, endMs: number) =>
    countUntil(endMs) - countUntil(endMs - windowMs);
  const lastEndMs = Math.max(0, ...arrivalsAtMs.slice(-1)) + windowMs;
  const endsAtMs = Array.from({ length: lastEndMs / stepMs }, (_none, step) => step * stepMs);
  const shares = endsAtMs.map((endMs) => {
    const requests = [0, windowMs / 2, windowMs].map((shiftMs) =>
      inWindow(sentUntil, endMs - shiftMs),
    );
    return inWindow(arrivedUntil, endMs) / (ratio * Math.max(...requests) + allowance);
  });
  return Math.max(0, ...shares);
}

/** Returns the number of times that are not later than a given time, a multiple of the step. */
function countByStep(timesMs: readonly number[]): (timeMs: number) => number {
  const counts: number[] = [];
  timesMs.forEach((timeMs) => {
    const step = timeMs / stepMs;
    counts[step] = (counts[step] ?? 0) + 1;
  });
  const sums: number[] = [];
  for (let step = 0; step < counts.length; step += 1) {
    sums.push((sums[step - 1] ?? 0) + (counts[step] ?? 0));
  }
  return (timeMs) => (timeMs < 0 ? 0 : (sums[Math.min(timeMs / stepMs, sums.length - 1)] ?? 0));
}
