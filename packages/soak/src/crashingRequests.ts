/**
 * Requests that crash each server that runs them, which callers repeat at any router. Once all routers have had the
 * contact time to learn of the third crash, only a few more may reach servers.
 */
import type { Route } from '@bluebellhitch/routing';
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
  /** Number of different requests. */
  count: number;
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

interface CrashingRequest {
  body: string;
  route: Route;
  crashedAtMs: number[];
  /** Ids of its repetitions. */
  requestIds: string[];
}

const bodyStart = 'crash ';
const toleratedCrashes = 3;
const maxLaterArrivals = 3;
const meanPauseMs = 300;

/** Whether a server that runs a request with this body crashes. */
export function isCrashingBody(body: string): boolean {
  return body.startsWith(bodyStart);
}

export function createCrashingRequests(options: CrashingRequestsOptions): CrashingRequests {
  const { callers, routes, ledger, findings, disruptions, random } = options;
  const requests = Array.from({ length: options.count }, (_none, index): CrashingRequest => ({
    body: `${bodyStart}${index}`,
    route: routes[index % routes.length] as Route,
    crashedAtMs: [],
    requestIds: [],
  }));

  function createLoop(request: CrashingRequest): BackgroundLoop {
    return createBackgroundLoop(async (signal) => {
      while (!signal.aborted) {
        await delay(-Math.log(1 - random()) * meanPauseMs, signal);
        if (!signal.aborted) {
          const sent = await callers.repeat(request.route, request.body);
          request.requestIds.push(...(sent === undefined ? [] : [sent.id]));
        }
      }
    });
  }

  function laterArrivalCount({ crashedAtMs, requestIds }: CrashingRequest): number {
    const thirdAtMs = [...crashedAtMs].sort((left, right) => left - right)[toleratedCrashes - 1];
    const boundAtMs = (thirdAtMs ?? Infinity) + options.contactMs + options.marginMs;
    return requestIds
      .flatMap((id) => ledger.arrivalsOf(id))
      .filter(({ atMs, requestId }) => {
        const { routerName = '' } = ledger.request(requestId) ?? {};
        return atMs > boundAtMs && disruptions.hadContact(routerName, atMs, atMs);
      }).length;
  }

  return {
    loops: requests.map(createLoop),
    noteCrash(body) {
      requests.find((request) => request.body === body)?.crashedAtMs.push(monotonicNowMs());
    },
    checkAll() {
      requests.forEach((request) => {
        const count = laterArrivalCount(request);
        if (count > maxLaterArrivals) {
          const crashes = request.crashedAtMs.length;
          const detail = `${request.body}: ${crashes} crashes, ${count} arrivals long after the third`;
          findings.add(promises.crashing, detail, request.requestIds.at(-1));
        }
      });
      return requests.reduce((sum, { crashedAtMs }) => sum + crashedAtMs.length, 0);
    },
  };
}
