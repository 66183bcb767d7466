/** Checks of what the routers do together: the budget of further attempts, configurations, recovery. */
import { routeKinds, type Route } from '@bluebellhitch/routing';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
} from '@bluebellhitch/shared';
import type { PlatformBounds } from '@bluebellhitch/platform';
import { serviceNames } from './backendServers';
import type { Callers } from './callers';
import { plainRoute, type ConfigurationPlan } from './configurationPlan';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Arrival, Ledger, SentRequest } from './ledger';
import type { RouterProcessHandle } from './routerFleet';

export interface FleetChecksOptions {
  routers: readonly RouterProcessHandle[];
  plan: ConfigurationPlan;
  callers: Callers;
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  bounds: PlatformBounds;
  /** From a configuration's acknowledgement until it is in force. */
  applyMs: number;
  marginMs: number;
}

const budgetIntervalMs = 1_000;
const probeIntervalMs = 400;
const notFoundStatus = 404;
const overQuotaStatus = 429;
/** A request that is sent this soon after another may still overtake it on its way. */
const overtakeMs = 250;

/** Counts further attempts in each window against what the bounds allow all routers together. */
export function createBudgetCheck(options: FleetChecksOptions): BackgroundLoop {
  const { ledger, bounds, findings } = options;

  function arrivalsUntil(endMs: number): Arrival[] {
    const fromMs = endMs - bounds.attemptWindowMs;
    return ledger.arrivals().filter(({ atMs }) => atMs > fromMs && atMs <= endMs);
  }

  /** First arrivals of a service: the most of this window, the one before and the one half before. */
  function requestCount(service: string, nowMs: number): number {
    const { attemptWindowMs } = bounds;
    const counts = [0, attemptWindowMs / 2, attemptWindowMs].map(
      (backMs) =>
        arrivalsUntil(nowMs - backMs).filter(
          (arrival) => arrival.serviceName === service && !isFurther(arrival),
        ).length,
    );
    return Math.max(...counts);
  }

  function check(): void {
    const nowMs = monotonicNowMs();
    const further = countBy(
      arrivalsUntil(nowMs).filter(isFurther),
      ({ serviceName }) => serviceName,
    );
    further.forEach((count, service) => {
      const allowed = bounds.attemptRatio * requestCount(service, nowMs) + bounds.attemptAllowance;
      if (count > allowed) {
        findings.add(promises.budget, `${service}: ${count} further attempts, ${allowed} allowed`);
      }
    });
  }

  /** The first run is free, and the first prompt that is read apart. */
  function isFurther(arrival: Arrival): boolean {
    const [first] = ledger
      .arrivalsOf(arrival.requestId)
      .filter(({ isPrefill }) => isPrefill === arrival.isPrefill);
    return first !== arrival;
  }

  return createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      await delay(budgetIntervalMs, signal);
      check();
    }
  });
}

/** Asks every router for the paths that changed, and holds the answers against what must be in force. */
export function createConfigurationCheck(options: FleetChecksOptions): BackgroundLoop {
  const { routers, plan, callers, findings, disruptions, applyMs, marginMs } = options;
  /** By router and life: the newest move that it was seen to know, and when. */
  const seen = new Map<string, { index: number; atMs: number }>();

  const inForceSinceMs = (acknowledgedAtMs: number) => acknowledgedAtMs + applyMs + marginMs;

  const probe = (router: RouterProcessHandle, pathPrefix: string) =>
    callers.probe(router, probeRoute(pathPrefix), `${pathPrefix}1`);

  /** The newest move that the router's answer shows. */
  function noteSeen(router: RouterProcessHandle, request: SentRequest, index: number): void {
    const key = `${router.name}/${router.life()}`;
    const known = seen.get(key);
    if (known !== undefined && index < known.index && request.sentAtMs > known.atMs + overtakeMs) {
      findings.add(promises.configuration, `${router.name} went back to an older one`, request.id);
    }
    if (known === undefined || index > known.index) {
      seen.set(key, { index, atMs: monotonicNowMs() });
    }
  }

  async function probeMove(router: RouterProcessHandle): Promise<void> {
    const request = await probe(router, plan.movingPrefix);
    const arrival = options.ledger.arrivalsOf(request.id).at(-1);
    const moves = plan.moves();
    const newest = moves.at(-1);
    if (arrival === undefined || newest === undefined || request.end?.kind !== 'whole') {
      return;
    }
    const index = moves.findLastIndex(({ serviceName }) => serviceName === arrival.serviceName);
    noteSeen(router, request, index);
    const { acknowledgedAtMs } = newest;
    const isDue = request.sentAtMs > inForceSinceMs(acknowledgedAtMs);
    const isInTouch = disruptions.isInTouch(router.name, acknowledgedAtMs, request.sentAtMs);
    if (index < moves.length - 1 && isDue && isInTouch) {
      findings.add(promises.configuration, `${router.name} does not know a move`, request.id);
    }
  }

  async function probeChanged(router: RouterProcessHandle): Promise<void> {
    const due = [...plan.changedPaths()].filter(
      ([, state]) => monotonicNowMs() > inForceSinceMs(state.acknowledgedAtMs),
    );
    await Promise.all(
      due.map(async ([path, state]) => {
        const request = await probe(router, path);
        const isKnown = !isNotFound(request);
        if (
          request.end?.kind !== 'no-answer' &&
          isKnown !== (state.serviceName !== undefined) &&
          plan.changedPaths().get(path) === state &&
          disruptions.isInTouch(router.name, state.acknowledgedAtMs, request.sentAtMs)
        ) {
          const detail = `${router.name}: ${path} is ${isKnown ? 'still' : 'not'} there`;
          findings.add(promises.configuration, detail, request.id);
        }
      }),
    );
  }

  return createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      const running = routers.filter((router) => router.isRunning() && router.isInRotation());
      await Promise.all([
        delay(probeIntervalMs, signal),
        ...running.flatMap((router) => [probeMove(router), probeChanged(router)]),
      ]);
    }
  });
}

/**
 * The share of callers' requests sent since `fromMs` that had a whole answer; for probes 404 may be right, and what shows
 * no key in force or lies beyond a quota need not be served.
 */
export function servedShare(ledger: Ledger, fromMs: number): number {
  const sent = [...ledger.requests()].filter(
    ({ sentAtMs, isProbe, end, shownKey }) =>
      sentAtMs >= fromMs &&
      !isProbe &&
      shownKey.givenAtMs < sentAtMs &&
      shownKey.takenAtMs === Infinity &&
      end !== undefined &&
      end.kind !== 'caller-left' &&
      !(end.kind === 'refused' && end.status === overQuotaStatus),
  );
  const served = sent.filter(({ end }) => end?.kind === 'whole');
  return sent.length === 0 ? 0 : served.length / sent.length;
}

function isNotFound({ end }: SentRequest): boolean {
  return end?.kind === 'failed' && end.status === notFoundStatus;
}

function probeRoute(pathPrefix: string): Route {
  const route = plainRoute('probe', routeKinds.idempotent, serviceNames.desk);
  return { ...route, name: `probe ${pathPrefix}`, pathPrefix };
}

function countBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, number> {
  return items.reduce(
    (counts, item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1),
    new Map<string, number>(),
  );
}
