/** Chooses the decode engine for a request that waits for memory, as far as they have room and have not failed it. */
import type { Random } from '@bluebellhitch/shared';
import { stages, type BackendServer } from '../model';
import type { DecodePaces } from './decodePaces';
import type { PlacementRequest } from './decodePlacement';
import type { EngineLoads } from './engineLoads';
import type { FailedEngines } from './failedEngines';
import type { ServerPools } from './fleetShard';
import { compatibleCandidates, withPrefillEngines, type CandidatesOf } from './placementCandidates';
import { chooseBestFit, type PlacementCandidate } from './placementChoice';
import type { ServerPermits } from './serverLimits';

/** A request that waits for memory. */
export interface SeekingRequest extends PlacementRequest {
  failed: FailedEngines;
  /** When to try spare servers again. Their load is unknown here, so only an attempt shows whether they have room. */
  nextSpareAttemptAtMs: number;
}

export interface EngineChoice {
  /** The engines of the shard that the request may use now, whether they have room or not. */
  candidates(request: SeekingRequest, candidatesOf: CandidatesOf): PlacementCandidate[];
  /** Chooses among them or, if need be, among others. */
  choose(
    request: SeekingRequest,
    candidates: readonly PlacementCandidate[],
    pass: { nowMs: number; candidatesOf: CandidatesOf },
  ): PlacementCandidate | undefined;
}

export interface EngineChoiceOptions {
  pools: ServerPools;
  loads: Pick<EngineLoads, 'isFullFor' | 'lastAnswerAtMs'>;
  limits: Pick<ServerPermits, 'mayTake'>;
  paces?: Pick<DecodePaces, 'fastEnough'>;
  random: Random;
}

/** The reservation and the run: an overloaded engine limits the calls that it receives, not the runs. */
export const callsPerPlacement = 2;
/** Below this share of healthy engines in its own shard, a router tries spare engines whose load it does not know. */
const minHealthyShare = 0.5;
/** Between two attempts of one request at spare servers, so that a full fleet is not queried continuously. */
const spareRetryIntervalMs = 100;

export function createEngineChoice({
  pools,
  loads,
  limits,
  paces,
  random,
}: EngineChoiceOptions): EngineChoice {
  function chooseCandidate(
    waiter: SeekingRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const choose = (among: readonly PlacementCandidate[]) =>
      chooseBestFit(among, { ...waiter, paces, random });
    const preferred = withPrefillEngines(waiter, candidates, pools);
    return choose(preferred) ?? (preferred === candidates ? undefined : choose(candidates));
  }

  /** Engines are ejected for longer than a silence may last; see `plainChoice` for plain requests. */
  function chooseEjected(
    waiter: SeekingRequest,
    candidatesOf: CandidatesOf,
  ): PlacementCandidate | undefined {
    const { isImmediate, softwareVersion } = waiter;
    const candidates = candidatesOf(waiter, 'ejected').filter(
      (candidate) =>
        mayUse(waiter, candidate) &&
        [undefined, candidate.server.softwareVersion].includes(softwareVersion),
    );
    return isImmediate === true ? undefined : chooseCandidate(waiter, candidates);
  }

  function hasFailed({ failed, excludedIds }: SeekingRequest, { id }: BackendServer): boolean {
    return excludedIds.has(id) || failed.has(id, loads.lastAnswerAtMs(id));
  }

  function mayUse(waiter: SeekingRequest, { server }: PlacementCandidate): boolean {
    return (
      !hasFailed(waiter, server) &&
      !loads.isFullFor(server.id, waiter.reservedTokens) &&
      limits.mayTake(server.id, callsPerPlacement)
    );
  }

  /**
   * Chooses an engine of another shard, if most engines of this router's own shard have failed. It does not do so when
   * they are only full: other routers' placements on spare engines are unknown here, so streams placed there are paused
   * and cause others to be paused.
   */
  function trySpare(
    waiter: SeekingRequest,
    nowMs: number,
    candidatesOf: CandidatesOf,
  ): PlacementCandidate | undefined {
    const mayTrySpare =
      waiter.isImmediate !== true &&
      waiter.softwareVersion === undefined &&
      nowMs >= waiter.nextSpareAttemptAtMs;
    if (!mayTrySpare || !hasLostMostServers(waiter, candidatesOf)) {
      return undefined;
    }
    waiter.nextSpareAttemptAtMs = nowMs + spareRetryIntervalMs;
    const candidates = candidatesOf(waiter, 'spare').filter((candidate) =>
      mayUse(waiter, candidate),
    );
    return chooseBestFit(candidates, { ...waiter, paces, random });
  }

  function hasLostMostServers(waiter: SeekingRequest, candidatesOf: CandidatesOf): boolean {
    const listed = pools.usable(waiter.serviceName, stages.decode).length;
    return listed === 0 || candidatesOf(waiter, 'usable').length < minHealthyShare * listed;
  }

  function untriedEngines(
    waiter: SeekingRequest,
    candidatesOf: CandidatesOf,
  ): PlacementCandidate[] {
    return compatibleCandidates(waiter, candidatesOf).filter(
      ({ server }) => !hasFailed(waiter, server),
    );
  }

  return {
    candidates: (waiter, candidatesOf) =>
      untriedEngines(waiter, candidatesOf).filter((candidate) => mayUse(waiter, candidate)),
    choose(waiter, candidates, { nowMs, candidatesOf }) {
      const own = chooseCandidate(waiter, candidates) ?? trySpare(waiter, nowMs, candidatesOf);
      return own === undefined && untriedEngines(waiter, candidatesOf).length === 0
        ? chooseEjected(waiter, candidatesOf)
        : own;
    },
  };
}
