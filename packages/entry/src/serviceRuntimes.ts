/**
 * This entry's state per service: candidate selection, circuit breakers, overload control and in-flight
 * counts. All of it is only a hint; the agents decide about their servers.
 */
import {
  createCandidateSelector,
  createLinkRates,
  createLoadHints,
  createOutlierDetector,
  createOverloadController,
  createPhaseModels,
  createRateLimiter,
  createRetryBudget,
  type CandidateInstance,
  type CandidateSelector,
  type LinkRates,
  type LoadHints,
  type OutlierDetector,
  type OverloadController,
  type PhaseModels,
  type PlacementPolicy,
  type RateLimiter,
  type RetryBudget,
} from '@bluebellhitch/decisions';
import type { ServiceDocument } from '@bluebellhitch/document';
import type { PlatformInstance } from '@bluebellhitch/objects';
import { workerRoles } from '@bluebellhitch/protocol';
import type { Random } from '@bluebellhitch/shared';
import type { Instances } from './instances';
import { createUnreadyServers, type UnreadyServers } from './unreadyServers';

export interface ServiceRuntimesOptions {
  entryId: string;
  dataCentre: string;
  instances: Instances;
  random: Random;
  policy?: PlacementPolicy;
}

/** State of one service. */
export interface ServiceRuntime {
  selector: CandidateSelector;
  /** A second selector for plain calls, which choose between two candidates rather than three. */
  plainSelector: CandidateSelector;
  outliers: OutlierDetector;
  unready: UnreadyServers;
  overload: OverloadController;
  /** Number of plain calls from this entry in flight, by instance id. */
  inFlight: Map<string, number>;
}

/** Members of a service that accept new work, with the data that selection needs. */
export interface ServiceMembers {
  members: CandidateInstance[];
  version: number;
  byId: ReadonlyMap<string, PlatformInstance>;
}

export interface ServiceRuntimes {
  policy: PlacementPolicy;
  of(service: string): ServiceRuntime;
  members(document: ServiceDocument): ServiceMembers;
  remove(service: string): void;
  hints: LoadHints;
  linkRates: LinkRates;
  phaseModels: PhaseModels;
  rateLimiter: RateLimiter;
  retryBudget: RetryBudget;
}

interface CachedMembers extends ServiceMembers {
  document: ServiceDocument;
  instances: readonly PlatformInstance[];
}

const plainCandidates = 2;

/** Creates the state of all services of one entry. */
export function createServiceRuntimes(options: ServiceRuntimesOptions): ServiceRuntimes {
  const { instances, entryId, dataCentre, random, policy = 'default' } = options;
  const hints = createLoadHints();
  const rateLimiter = createRateLimiter();
  const runtimes = new Map<string, ServiceRuntime>();
  const cache = new Map<string, CachedMembers>();
  let memberVersion = 0;

  function createRuntime(): ServiceRuntime {
    const selection = { entryId, dataCentre, hints, random };
    return {
      selector: createCandidateSelector(selection),
      plainSelector: createCandidateSelector({ ...selection, count: plainCandidates }),
      outliers: createOutlierDetector(),
      unready: createUnreadyServers(),
      overload: createOverloadController(),
      inFlight: new Map(),
    };
  }

  function runtimeOf(service: string): ServiceRuntime {
    const runtime = runtimes.get(service) ?? createRuntime();
    runtimes.set(service, runtime);
    return runtime;
  }

  function members(document: ServiceDocument): ServiceMembers {
    const listed = instances.agents(document.service);
    const cached = cache.get(document.service);
    if (cached?.document === document && cached.instances === listed) {
      return cached;
    }
    const eligible = listed.filter((instance) => acceptsNewWork(instance, document));
    memberVersion += 1;
    const fresh: CachedMembers = {
      document,
      instances: listed,
      members: eligible.map((instance) => toCandidate(instance, document)),
      version: memberVersion,
      byId: new Map(eligible.map((instance) => [instance.id, instance])),
    };
    cache.set(document.service, fresh);
    runtimeOf(document.service).outliers.setPoolSize(eligible.length);
    return fresh;
  }

  return {
    policy,
    of: runtimeOf,
    members,
    remove(service) {
      runtimes.delete(service);
      cache.delete(service);
    },
    hints,
    linkRates: createLinkRates(),
    phaseModels: createPhaseModels(),
    rateLimiter,
    retryBudget: createRetryBudget(),
  };
}

function acceptsNewWork(instance: PlatformInstance, document: ServiceDocument): boolean {
  return (
    instance.state === 'live' &&
    !document.drain.instances.includes(instance.id) &&
    document.dataCentres.includes(instance.dataCentre)
  );
}

function toCandidate(
  { id, dataCentre, role, state }: PlatformInstance,
  document: ServiceDocument,
): CandidateInstance {
  const defaultRole = document.kind === 'plain' ? workerRoles.plain : workerRoles.both;
  return { id, dataCentre, role: role ?? defaultRole, state };
}
