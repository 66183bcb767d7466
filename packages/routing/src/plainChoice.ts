/** Chooses the server for a plain request's next attempt, within the limits that servers name. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from './model';
import type { RequestState } from './requestState';
import type { RouterParts } from './routerParts';

export type PlainChoice =
  | { kind: 'chosen'; server: BackendServer }
  /** Those that are left take no request at this time, by limits that they name. */
  | { kind: 'limited'; retryAfterMs: number }
  | { kind: 'none' };

export async function choosePlainServer(
  state: RequestState,
  parts: RouterParts,
): Promise<PlainChoice> {
  const candidates = candidatesFor(state, parts);
  if (candidates.length === 0) {
    return { kind: 'none' };
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
    ? { kind: 'limited', retryAfterMs: soonestMs(candidates, parts) }
    : { kind: 'chosen', server: granted };
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
  const first = Math.floor(random() * candidates.length);
  for (const server of [...candidates.slice(first), ...candidates.slice(0, first)]) {
    if (signal.aborted) {
      return undefined;
    }
    if ((await limits.request(server.id)) && limits.take(server.id)) {
      return server;
    }
  }
  return undefined;
}

function soonestMs(candidates: readonly BackendServer[], { limits }: RouterParts): number {
  return Math.min(...candidates.map(({ id }) => limits.waitMs(id)));
}
