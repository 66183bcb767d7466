/** Checks across all routers: configuration changes, and the share served. */
import { routeKinds, type Route } from '@bluebellhitch/routing';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
} from '@bluebellhitch/shared';
import { serviceNames } from './serverSlots';
import type { Callers } from './callers';
import { plainRoute, type ConfigurationPlan } from './configurationPlan';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Ledger, SentRequest } from './ledger';
import type { RouterProcessHandle } from './routerFleet';

export interface FleetChecksOptions {
  routers: readonly RouterProcessHandle[];
  plan: ConfigurationPlan;
  callers: Callers;
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  /** Time from a configuration's acknowledgement until routers must apply it. */
  applyMs: number;
  marginMs: number;
}

const probeIntervalMs = 400;
const notFoundStatus = 404;
const overQuotaStatus = 429;
/** A request sent within this time after another may overtake it. */
const overtakeMs = 250;

/** Probes the changed paths at every router and compares the responses with the configuration that must be active. */
export function createConfigurationCheck(options: FleetChecksOptions): BackgroundLoop {
  const { routers, plan, callers, findings, disruptions, applyMs, marginMs } = options;
  /** By router and incarnation: the newest move that its responses have shown, and when. */
  const newestShown = new Map<string, { index: number; atMs: number }>();

  const activeSinceMs = (acknowledgedAtMs: number) => acknowledgedAtMs + applyMs + marginMs;

  const probe = (router: RouterProcessHandle, pathPrefix: string) =>
    callers.probe(router, probeRoute(pathPrefix), `${pathPrefix}1`);

  /** Records the move that a router's response shows. */
  function noteShown(router: RouterProcessHandle, request: SentRequest, index: number): void {
    const key = `${router.name}/${router.incarnation()}`;
    const known = newestShown.get(key);
    if (known !== undefined && index < known.index && request.sentAtMs > known.atMs + overtakeMs) {
      findings.add(promises.configuration, `${router.name} went back to an older one`, request.id);
    }
    if (known === undefined || index > known.index) {
      newestShown.set(key, { index, atMs: monotonicNowMs() });
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
    noteShown(router, request, index);
    const { acknowledgedAtMs } = newest;
    const isDue = request.sentAtMs > activeSinceMs(acknowledgedAtMs);
    const hadContact = disruptions.hadContact(router.name, acknowledgedAtMs, request.sentAtMs);
    if (index < moves.length - 1 && isDue && hadContact) {
      findings.add(promises.configuration, `${router.name} does not know a move`, request.id);
    }
  }

  async function probeChanged(router: RouterProcessHandle): Promise<void> {
    const due = [...plan.changedPaths()].filter(
      ([, state]) => monotonicNowMs() > activeSinceMs(state.acknowledgedAtMs),
    );
    await Promise.all(
      due.map(async ([path, state]) => {
        const request = await probe(router, path);
        const isKnown = !isNotFound(request);
        if (
          request.end?.kind !== 'no-answer' &&
          isKnown !== (state.serviceName !== undefined) &&
          plan.changedPaths().get(path) === state &&
          disruptions.hadContact(router.name, state.acknowledgedAtMs, request.sentAtMs)
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
 * The share of callers' requests sent since `fromMs` that got a complete response. Leaves out probes, for which 404 can
 * be correct, and requests that need not be served: without a valid key, above a quota, or from a disconnected caller.
 */
export function servedShare(ledger: Ledger, fromMs: number): number {
  const sent = [...ledger.requests()].filter(
    ({ sentAtMs, isProbe, isCrashing, end, shownKey }) =>
      sentAtMs >= fromMs &&
      !isProbe &&
      !isCrashing &&
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
