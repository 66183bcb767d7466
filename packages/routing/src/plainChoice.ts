/** Chooses the server for a plain request's next attempt, within what servers say of themselves. */
import { fromAnyPlace, monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from './model';
import type { RequestState } from './requestState';
import type { RouterParts } from './routerParts';

export type PlainChoice =
  | { kind: 'chosen'; server: BackendServer }
  /** Those that are left take no request at this time, by limits that they name. */
  | { kind: 'limited'; retryAfterMs: number }
  /** All servers of the service rest. */
  | { kind: 'resting'; retryAfterMs: number }
  | { kind: 'none' };

/** Callers come back after about this long: a full or restarting server has room again by then. */
export const usualRetryAfterMs = 300;
/** Servers that name a limit for longer than this have other permits meanwhile, at other routers. */
const longestLimitedMs = 2_000;
const retrySpread = 0.5;

export async function choosePlainServer(
  state: RequestState,
  parts: RouterParts,
): Promise<PlainChoice> {
  const candidates = candidatesFor(state, parts);
  if (candidates.length === 0) {
    return choiceOfNone(state, parts);
  }
  const { limits } = parts;
  const open = leastLoaded(
    candidates.filter(({ id }) => limits.mayTake(id)),
    parts,
  );
  if (open !== undefined && limits.take(open.id)) {
    return { kind: 'chosen', server: open };
  }
  const granted = await askForPermit(candidates, state, parts);
  return granted === undefined
    ? { kind: 'limited', retryAfterMs: afterLimitsMs(candidates, parts) }
    : { kind: 'chosen', server: granted };
}

function choiceOfNone({ service }: RequestState, { words, random }: RouterParts): PlainChoice {
  const restMs = words.closedForMs(service.name);
  return restMs === undefined
    ? { kind: 'none' }
    : { kind: 'resting', retryAfterMs: restMs + usualRetryAfterMs * random() };
}

function candidatesFor(state: RequestState, { pools, health }: RouterParts): BackendServer[] {
  const ejected = health.ejected(monotonicNowMs());
  const untried = pools
    .usable(state.service.name)
    .filter(({ id }) => !state.failedServerIds.has(id));
  const sound = untried.filter(({ id }) => !ejected.has(id));
  return sound.length > 0 ? sound : untried;
}

function leastLoaded(
  servers: readonly BackendServer[],
  { serverLoads, random }: RouterParts,
): BackendServer | undefined {
  return servers
    .map((server) => ({
      server,
      load: serverLoads.running(server.id) / server.slots,
      tie: random(),
    }))
    .sort((left, right) => left.load - right.load || left.tie - right.tie)[0]?.server;
}

/** One server after the other, in any order: a permit that is granted and not used is lost to all. */
async function askForPermit(
  candidates: readonly BackendServer[],
  { signal }: RequestState,
  { limits, random }: RouterParts,
): Promise<BackendServer | undefined> {
  for (const server of fromAnyPlace(candidates, random)) {
    if (signal.aborted) {
      return undefined;
    }
    if ((await limits.request(server.id)) && limits.take(server.id)) {
      return server;
    }
  }
  return undefined;
}

/** Callers that were refused together come back apart. */
function afterLimitsMs(
  candidates: readonly BackendServer[],
  { limits, random }: RouterParts,
): number {
  const soonestMs = Math.min(...candidates.map(({ id }) => limits.waitMs(id)));
  const waitMs = Math.min(longestLimitedMs, Math.max(usualRetryAfterMs, soonestMs));
  return waitMs * (1 + retrySpread * random());
}
