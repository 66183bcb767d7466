/**
 * Requests that crash each server that runs them, which callers send at any router: one that is repeated, or different
 * ones that share a part of their prompts. Once all routers have had the contact time to learn of the last tolerated
 * crash, only a few more may reach servers.
 */
import { routeKinds, type Route } from '@bluebellhitch/routing';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';
import type { Callers } from './callers';
import type { Disruptions } from './disruptions';
import { promises, type Findings } from './findings';
import type { Ledger } from './ledger';

export interface CrashingRequestsOptions {
  /** Number of different requests that are repeated. */
  count: number;
  /** Number of parts of prompts that crash engines. */
  partCount: number;
  callers: Pick<Callers, 'repeat'>;
  routes: readonly Route[];
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
  random: Random;
  contactMs: number;
  marginMs: number;
}

export interface CrashingRequests {
  loops: readonly BackgroundLoop[];
  /** A server has crashed because it ran the request with this body. */
  noteCrash(body: string): void;
  /** Checks all requests; call once, after the last arrival. Returns the number of crashes. */
  checkAll(): number;
}

/** What crashes servers: one request, or a part of the prompts of many. */
interface CrashingSource {
  /** Bodies of its requests begin so. */
  body: string;
  /** Absent for a request that is repeated. */
  part?: string;
  route: Route;
  toleratedCrashes: number;
  crashedAtMs: number[];
  /** Ids of its requests. */
  requestIds: string[];
}

const bodyStart = 'crash ';
const partBodyStart = `${bodyStart}part `;
const toleratedCrashes = 3;
const toleratedPartCrashes = 5;
const maxLaterArrivals = 3;
const meanPauseMs = 300;

/** How a run of a request with this body ends its server; undefined if it does not. */
export function crashOf(body: string): { kind: 'crash'; afterMs?: number } | undefined {
  if (!body.startsWith(bodyStart)) {
    return undefined;
  }
  return { kind: 'crash', afterMs: body.startsWith(partBodyStart) ? partCrashMs(body) : undefined };
}

/** An engine that has begun to write on a harmful part ends within this range of times. */
const minPartCrashMs = 40;
const partCrashRangeMs = 210;

function partCrashMs(body: string): number {
  const sum = [...body].reduce((total, character) => total + character.charCodeAt(0), 0);
  return minPartCrashMs + ((sum * 53) % partCrashRangeMs);
}

export function createCrashingRequests(options: CrashingRequestsOptions): CrashingRequests {
  const { callers, routes, ledger, findings, disruptions, random } = options;
  const streamRoutes = routes.filter(({ kind }) => kind === routeKinds.stream);
  const sources = [
    ...Array.from({ length: options.count }, (_none, index) =>
      createSource({ body: `${bodyStart}${index}`, route: routes[index % routes.length] as Route }),
    ),
    ...Array.from({ length: options.partCount }, (_none, index) =>
      createSource({
        body: `${partBodyStart}${index} `,
        part: `bad${index}`,
        route: streamRoutes[index % streamRoutes.length] as Route,
        toleratedCrashes: toleratedPartCrashes,
      }),
    ),
  ];

  function createLoop(source: CrashingSource): BackgroundLoop {
    const { route, part, requestIds } = source;
    return createBackgroundLoop(async (signal) => {
      while (!signal.aborted) {
        await delay(-Math.log(1 - random()) * meanPauseMs, signal);
        if (!signal.aborted) {
          const sent =
            part === undefined
              ? await callers.repeat(route, source.body)
              : await callers.repeat(route, `${source.body}${requestIds.length}`, [part]);
          requestIds.push(...(sent === undefined ? [] : [sent.id]));
        }
      }
    });
  }

  function laterArrivalCount(source: CrashingSource): number {
    const { crashedAtMs, requestIds } = source;
    const inOrder = [...crashedAtMs].sort((left, right) => left - right);
    const lastToleratedAtMs = inOrder[source.toleratedCrashes - 1];
    const boundAtMs = (lastToleratedAtMs ?? Infinity) + options.contactMs + options.marginMs;
    return requestIds
      .flatMap((id) => ledger.arrivalsOf(id))
      .filter(({ atMs, requestId }) => {
        const { routerName = '' } = ledger.request(requestId) ?? {};
        return atMs > boundAtMs && disruptions.hadContact(routerName, atMs, atMs);
      }).length;
  }

  return {
    loops: sources.map(createLoop),
    noteCrash(body) {
      sources.find((source) => isOf(source, body))?.crashedAtMs.push(monotonicNowMs());
    },
    checkAll() {
      sources.forEach((source) => {
        const count = laterArrivalCount(source);
        if (count > maxLaterArrivals) {
          const crashes = source.crashedAtMs.length;
          const detail = `${source.body}: ${crashes} crashes, ${count} arrivals long after the last tolerated one`;
          findings.add(promises.crashing, detail, source.requestIds.at(-1));
        }
      });
      return sources.reduce((sum, { crashedAtMs }) => sum + crashedAtMs.length, 0);
    },
  };
}

function createSource(
  source: Pick<CrashingSource, 'body' | 'route'> & Partial<CrashingSource>,
): CrashingSource {
  return { toleratedCrashes, crashedAtMs: [], requestIds: [], ...source };
}

function isOf({ body: start, part }: CrashingSource, body: string): boolean {
  return part === undefined ? body === start : body.startsWith(start);
}
