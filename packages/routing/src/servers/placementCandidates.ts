/** The decode engines at which a request may be placed, by pool, health and software version. */
import type { OutlierDetector } from '@bluebellhitch/decisions';
import { stages, type EngineSettings } from '../model';
import type { EngineLoads } from './engineLoads';
import type { ServerPools } from './fleetShard';
import type { PlacementCandidate } from './placementChoice';

export interface CandidateRequest {
  serviceName: string;
  engine: EngineSettings;
  /** The software version that has begun the stream: no other one can continue it. */
  softwareVersion?: string;
}

export type CandidatePool =
  | 'usable'
  | 'spare'
  | 'ofAllShards'
  /** Engines of the shard that keep failing: for requests that have no other one left. */
  | 'ejected';

/** Candidates by service and pool, computed once for each pass over the waiting requests. */
export type CandidatesOf = (
  request: CandidateRequest,
  pool: CandidatePool,
) => readonly PlacementCandidate[];

export interface CandidateLookupOptions {
  pools: ServerPools;
  loads: Pick<EngineLoads, 'isUnresponsive' | 'forecast'>;
  health: Pick<OutlierDetector, 'ejected'>;
}

export function createCandidateLookup(
  { pools, loads, health }: CandidateLookupOptions,
  nowMs: number,
): CandidatesOf {
  const ejected = health.ejected(nowMs);
  const candidatesByKey = new Map<string, readonly PlacementCandidate[]>();
  return ({ serviceName, engine }, pool) => {
    const key = `${pool} ${serviceName}`;
    const candidates =
      candidatesByKey.get(key) ??
      pools[pool === 'ejected' ? 'usable' : pool](serviceName, stages.decode)
        .filter(({ id }) => ejected.has(id) === (pool === 'ejected') && !loads.isUnresponsive(id))
        .map((server) => ({ server, memory: loads.forecast(server.id, engine.kvTokens) }));
    candidatesByKey.set(key, candidates);
    return candidates;
  };
}

/** The shard's servers. A stream that needs a software version of which the shard has none may use any shard. */
export function compatibleCandidates(
  request: CandidateRequest,
  candidatesOf: CandidatesOf,
): readonly PlacementCandidate[] {
  const { softwareVersion } = request;
  const own = candidatesOf(request, 'usable');
  if (softwareVersion === undefined) {
    return own;
  }
  const isCompatible = ({ server }: PlacementCandidate) =>
    server.softwareVersion === softwareVersion;
  const compatible = own.filter(isCompatible);
  return compatible.length > 0
    ? compatible
    : candidatesOf(request, 'ofAllShards').filter(isCompatible);
}

/** Whether no server is left that can continue the stream. */
export function hasLostItsVersion(
  { serviceName, softwareVersion }: CandidateRequest,
  pools: ServerPools,
): boolean {
  return softwareVersion !== undefined && !pools.hasVersion(serviceName, softwareVersion);
}

/**
 * Where several software versions serve, the engines whose version has a prefill engine: the others would have to prefill
 * the prompt themselves, which pauses their streams.
 */
export function withPrefillEngines(
  { serviceName }: CandidateRequest,
  candidates: readonly PlacementCandidate[],
  pools: ServerPools,
): readonly PlacementCandidate[] {
  const versions = new Set(candidates.map(({ server }) => server.softwareVersion));
  if (versions.size <= 1) {
    return candidates;
  }
  const prefillVersions = new Set(
    pools.usable(serviceName, stages.prefill).map(({ softwareVersion }) => softwareVersion),
  );
  return candidates.filter(({ server }) => prefillVersions.has(server.softwareVersion));
}
