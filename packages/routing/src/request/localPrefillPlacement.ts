/**
 * Chooses where a decode engine prefills a prompt itself. The engine's streams pause meanwhile, on a slow engine longer
 * than their target allows, so the prompt moves to a faster engine that has the memory, if there is one.
 */
import type { Placement, PlacementOutcome } from '../servers/decodePlacement';
import { engineWork, noPaces } from '../servers/decodePaces';
import { stages, type BackendServer } from '../model';
import { noteStep, type RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';

export interface LocalPrefill {
  state: RequestState;
  /** Expected time of the prefill on a typical decode engine. */
  localMs: number;
  deps: Pick<RouterDependencies, 'backend' | 'decodePaces' | 'engineLoads' | 'metrics' | 'pools'>;
}

/** Places the same stream on another engine; must not wait for memory. */
export type PlaceElsewhere = (excludedIds: ReadonlySet<string>) => Promise<PlacementOutcome>;

/** Returns the placement to use. If it is another one, the given one has been released. */
export async function placeForLocalPrefill(
  prefill: LocalPrefill,
  placement: Placement,
  placeElsewhere: PlaceElsewhere,
): Promise<Placement> {
  const { state, deps } = prefill;
  const { server } = placement.reservation;
  const faster = isWithinTarget(prefill, server) ? undefined : fasterServers(prefill, server);
  if (faster === undefined) {
    return placement;
  }
  const fasterIds = new Set(faster.map(({ id }) => id));
  const otherIds = usableServers(prefill)
    .map(({ id }) => id)
    .filter((id) => !fasterIds.has(id));
  const outcome: PlacementOutcome =
    faster.length === 0
      ? { kind: 'no-capacity', retryAfterMs: 0 }
      : await placeElsewhere(new Set([...state.failedServerIds, ...otherIds, server.id]));
  const isMoved = outcome.kind === 'placed';
  deps.metrics.countSlowLocalPrefill(state.service.name, isMoved ? 'moved' : 'kept');
  if (!isMoved) {
    return placement;
  }
  noteStep(state, `prompt moved from ${server.id} to ${outcome.placement.reservation.server.id}`);
  deps.backend.releaseReservation(placement.reservation);
  placement.stream.release();
  return outcome.placement;
}

/** Whether the other streams of the engine keep their target even if none of them gets an event during the prefill. */
function isWithinTarget({ state, localMs, deps }: LocalPrefill, { id }: BackendServer): boolean {
  const { decodePaces = noPaces } = deps;
  return localMs * decodePaces.slowness(id) <= state.route.targetGapMs;
}

/** Fast engines that prefill no other prompt; undefined if the given one is fast itself, or of another shard. */
function fasterServers(prefill: LocalPrefill, server: BackendServer): BackendServer[] | undefined {
  const { state, deps } = prefill;
  const { decodePaces = noPaces, engineLoads } = deps;
  const usable = usableServers(prefill);
  const fastEnough = decodePaces.fastEnough(usable, ({ id }) => id, {
    work: engineWork.localPrefill,
    targetGapMs: state.route.targetGapMs,
  });
  const isAmong = (servers: readonly BackendServer[]) => servers.some(({ id }) => id === server.id);
  return isAmong(fastEnough) || !isAmong(usable)
    ? undefined
    : fastEnough.filter(({ id }) => engineLoads.localPrefillCount(id) === 0);
}

function usableServers({ state, deps }: LocalPrefill): readonly BackendServer[] {
  return deps.pools.usable(state.service.name, stages.decode);
}
