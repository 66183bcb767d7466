/**
 * Decides where a stream may continue that its caller takes up again: only at the service and the software version that
 * have begun it, since what two versions write does not fit together and servers do not check it.
 */
import type { StreamOrigin } from '@bluebellhitch/protocol';
import type { Random } from '@bluebellhitch/shared';
import { routeKinds, type CallerRequest, type Route, type RouteTarget } from './model';
import { chooseTarget } from './routeTable';
import {
  unknownVersionReasons,
  type OnlyVersion,
  type ServiceVersions,
  type UnknownVersionReason,
} from './serviceVersions';
import type { StreamOrigins } from './streamOrigins';

/** How the origin of a resumed stream was found. */
export const originSources = {
  /** This router or another one remembers the stream. */
  remembered: 'remembered',
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
  | { source: Exclude<OriginSource, 'unknown'>; softwareVersion: string }
  /** No router remembers the stream, and the reason is why several versions may have begun it. */
  | { source: typeof originSources.unknown; reason: UnknownVersionReason };

export interface StreamPlanOptions {
  streamOrigins: Pick<StreamOrigins, 'find'>;
  serviceVersions: Pick<ServiceVersions, 'onlyVersion'>;
  random: Random;
}

export function isResumption(route: Route, { lastEventId }: CallerRequest): boolean {
  return route.kind === routeKinds.stream && lastEventId !== undefined;
}

/** For a request that resumes a stream; see `isResumption`. */
export async function planResumption(
  { targets }: Route,
  { resumedRequestId }: CallerRequest,
  { streamOrigins, serviceVersions, random }: StreamPlanOptions,
): Promise<StreamPlan> {
  const origin =
    resumedRequestId === undefined ? undefined : await streamOrigins.find(resumedRequestId);
  const target = targetOf(targets, origin) ?? chooseTarget(targets, random());
  if (origin !== undefined) {
    const { softwareVersion } = origin;
    return { target, resumed: { source: originSources.remembered, softwareVersion } };
  }
  const only = await onlyVersion(targets, serviceVersions);
  const resumed: ResumedStream =
    only.kind === 'unknown'
      ? { source: originSources.unknown, reason: only.reason }
      : { source: originSources.onlyVersion, softwareVersion: only.softwareVersion };
  return { target, resumed };
}

/** The version that must have begun any stream of the route. */
async function onlyVersion(
  targets: readonly RouteTarget[],
  serviceVersions: StreamPlanOptions['serviceVersions'],
): Promise<OnlyVersion> {
  const [service, ...otherServices] = targets.map(({ serviceName }) => serviceName);
  return service === undefined || otherServices.length > 0
    ? { kind: 'unknown', reason: unknownVersionReasons.severalServices }
    : serviceVersions.onlyVersion(service);
}

/** The service that has begun the stream, unless the route has been moved from it. */
function targetOf(
  targets: readonly RouteTarget[],
  origin: StreamOrigin | undefined,
): RouteTarget | undefined {
  return targets.find(({ serviceName }) => serviceName === origin?.serviceName);
}
