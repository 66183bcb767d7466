/** Chooses the server for a plain request's next attempt, respecting the servers' limits and backoff notices. */
import { rotateRandomly, monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from '../model';
import type { RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';

export type PlainChoice =
  | { kind: 'chosen'; server: BackendServer }
  /** The remaining servers accept no request now, by the rate limits that they state. */
  | { kind: 'limited'; retryAfterMs: number }
  /** All servers of the service are in their backoff period. */
  | { kind: 'resting'; retryAfterMs: number }
  | { kind: 'none' };

/** Default Retry-After: a full or restarting server usually has capacity again by then. */
export const defaultRetryAfterMs = 300;
/** Longest wait for a rate limit: other routers may have permits for the server before this one does. */
const maxLimitWaitMs = 2_000;
const retryJitterShare = 0.5;

export async function choosePlainServer(
  state: RequestState,
  deps: RouterDependencies,
): Promise<PlainChoice> {
  const candidates = candidatesFor(state, deps);
  if (candidates.length === 0) {
    return choiceWithoutCandidates(state, deps);
  }
  const { limits } = deps;
  const leastLoadedServer = leastLoaded(
    candidates.filter(({ id }) => limits.mayTake(id)),
    deps,
  );
  if (leastLoadedServer !== undefined && limits.take(leastLoadedServer.id)) {
    return { kind: 'chosen', server: leastLoadedServer };
  }
  const permitted = await requestPermit(candidates, state, deps);
  return permitted === undefined
    ? { kind: 'limited', retryAfterMs: retryAfterLimitsMs(candidates, deps) }
    : { kind: 'chosen', server: permitted };
}

function choiceWithoutCandidates(
  { service }: RequestState,
  { notices, random }: RouterDependencies,
): PlainChoice {
  const backoffMs = notices.allBackoffLeftMs(service.name);
  return backoffMs === undefined
    ? { kind: 'none' }
    : { kind: 'resting', retryAfterMs: backoffMs + defaultRetryAfterMs * random() };
}

function candidatesFor(
  state: RequestState,
  { pools, health }: RouterDependencies,
): BackendServer[] {
  const ejected = health.ejected(monotonicNowMs());
  const untried = pools
    .usable(state.service.name)
    .filter(({ id }) => !state.failedServerIds.has(id));
  const healthy = untried.filter(({ id }) => !ejected.has(id));
  return healthy.length > 0 ? healthy : untried;
}

function leastLoaded(
  servers: readonly BackendServer[],
  { serverLoads, random }: RouterDependencies,
): BackendServer | undefined {
  return servers
    .map((server) => ({
      server,
      load: serverLoads.running(server.id) / server.slots,
      tie: random(),
    }))
    .sort((left, right) => left.load - right.load || left.tie - right.tie)[0]?.server;
}

/** Asks for one server after the other, from a random one on: a permit that is granted but not used is wasted. */
async function requestPermit(
  candidates: readonly BackendServer[],
  { signal }: RequestState,
  { limits, random }: RouterDependencies,
): Promise<BackendServer | undefined> {
  for (const server of rotateRandomly(candidates, random)) {
    if (signal.aborted) {
      return undefined;
    }
    if ((await limits.request(server.id)) && limits.take(server.id)) {
      return server;
    }
  }
  return undefined;
}

/** Adds jitter, so that callers that were refused together do not retry together. */
function retryAfterLimitsMs(
  candidates: readonly BackendServer[],
  { limits, random }: RouterDependencies,
): number {
  const soonestMs = Math.min(...candidates.map(({ id }) => limits.waitMs(id)));
  const waitMs = Math.min(maxLimitWaitMs, Math.max(defaultRetryAfterMs, soonestMs));
  return waitMs * (1 + retryJitterShare * random());
}
