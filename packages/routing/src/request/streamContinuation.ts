/**
 * Decides where a stream may continue that its caller takes up again: only at the service and the software version that
 * have begun it, since what two versions write does not fit together and servers do not check it.
 */
import type { StreamOrigin } from '@bluebellhitch/protocol';
import type { Random } from '@bluebellhitch/shared';
import { routeKinds, type CallerRequest, type Route, type RouteTarget } from '../model';
import { chooseTarget } from '../routeTable';
import {
  unknownVersionReasons,
  type OnlyVersion,
  type ServiceVersions,
  type UnknownVersionReason,
} from '../servers/serviceVersions';
import type { OriginLookup, OriginStore } from '../fleet/originStore';
import type { StreamOrigins } from '../fleet/streamOrigins';

/** How the origin of a resumed stream was found. */
export const originSources = {
  /** This router or another one remembers the stream. */
  remembered: 'remembered',
  /** A router has put the stream on record in the store. */
  stored: 'stored',
  /** No other version can have begun it. */
  onlyVersion: 'only-version',
  unknown: 'unknown',
} as const;
export type OriginSource = (typeof originSources)[keyof typeof originSources];

export interface StreamPlan {
  /** Undefined if the route has no target. */
  target: RouteTarget | undefined;
  /** Absent for a request that resumes no stream. */
  resumed?: ResumedStream;
}

export type ResumedStream =
  { source: Exclude<OriginSource, 'unknown'>; softwareVersion: string } | UnknownOrigin;

/** No router remembers the stream. */
export interface UnknownOrigin {
  source: typeof originSources.unknown;
  /** Why several versions may have begun it. */
  reason: UnknownVersionReason;
  /** Whether the store was read; absent if the caller names no stream. */
  stored?: Exclude<OriginLookup['kind'], 'found'>;
}

export interface StreamPlanOptions {
  streamOrigins: Pick<StreamOrigins, 'find'>;
  originStore: Pick<OriginStore, 'find'>;
  serviceVersions: Pick<ServiceVersions, 'onlyVersion'>;
  random: Random;
}

export function isResumption(route: Route, { lastEventId }: CallerRequest): boolean {
  return route.kind === routeKinds.stream && lastEventId !== undefined;
}

/** For a request that resumes a stream; see `isResumption`. */
export async function planResumption(
  { targets }: Route,
  request: CallerRequest,
  options: StreamPlanOptions,
): Promise<StreamPlan> {
  const found = await findOrigin(targets, request, options);
  const origin = 'origin' in found ? found.origin : undefined;
  const target = targetOf(targets, origin) ?? chooseTarget(targets, options.random());
  return { target, resumed: 'origin' in found ? resumedStream(found) : found };
}

interface FoundOrigin {
  source: Exclude<OriginSource, 'unknown'>;
  origin: Partial<StreamOrigin> & Pick<StreamOrigin, 'softwareVersion'>;
}

function resumedStream({ source, origin: { softwareVersion } }: FoundOrigin): ResumedStream {
  return { source, softwareVersion };
}

/** The cheapest way first: while one version serves, the store need not be asked for single streams. */
async function findOrigin(
  targets: readonly RouteTarget[],
  { resumedRequestId }: CallerRequest,
  { streamOrigins, originStore, serviceVersions }: StreamPlanOptions,
): Promise<FoundOrigin | UnknownOrigin> {
  const remembered =
    resumedRequestId === undefined ? undefined : await streamOrigins.find(resumedRequestId);
  if (remembered !== undefined) {
    return { source: originSources.remembered, origin: remembered };
  }
  const only = await onlyVersion(targets, serviceVersions);
  if (only.kind === 'known') {
    const { softwareVersion } = only;
    return { source: originSources.onlyVersion, origin: { softwareVersion } };
  }
  const unknown = { source: originSources.unknown, reason: only.reason };
  if (resumedRequestId === undefined) {
    return unknown;
  }
  const stored = await originStore.find(resumedRequestId);
  return stored.kind === 'found'
    ? { source: originSources.stored, origin: stored.origin }
    : { ...unknown, stored: stored.kind };
}

/** The version that must have begun any stream of the route. A service without a share of it begins none. */
async function onlyVersion(
  targets: readonly RouteTarget[],
  serviceVersions: StreamPlanOptions['serviceVersions'],
): Promise<OnlyVersion> {
  const [service, ...otherServices] = targets
    .filter(({ weight }) => weight > 0)
    .map(({ serviceName }) => serviceName);
  return service === undefined || otherServices.length > 0
    ? { kind: 'unknown', reason: unknownVersionReasons.severalServices }
    : serviceVersions.onlyVersion(service);
}

/** The service that has begun the stream, unless the route has been moved from it. */
function targetOf(
  targets: readonly RouteTarget[],
  origin: Partial<StreamOrigin> | undefined,
): RouteTarget | undefined {
  return targets.find(({ serviceName }) => serviceName === origin?.serviceName);
}
