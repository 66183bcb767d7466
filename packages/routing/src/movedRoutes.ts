/** Which paths a new configuration moves to other services, so that streams in progress there began at a service that it may not go on at. */
import { routeKinds, type Route, type RouteTarget } from './model';
import type { RouteTable } from './routeTable';

export interface MovedRoute {
  host: string;
  pathPrefix: string;
  /** Services at which streams may have begun, and those at which they may go on. */
  from: readonly string[];
  to: readonly string[];
}

/** Stream routes that have other services now, also since a longer path has come or gone. */
export function findMovedRoutes(previous: RouteTable, next: RouteTable): MovedRoute[] {
  const before = byPath(previous);
  const after = byPath(next);
  const changed = [...new Set([...before.keys(), ...after.keys()])].filter(
    (path) => !hasSameServices(before.get(path), after.get(path)),
  );
  return changed.flatMap((path) => {
    const { host, pathPrefix } = (after.get(path) ?? before.get(path)) as Route;
    const from = beginningServices(previous.match(host, pathPrefix));
    const to = beginningServices(next.match(host, pathPrefix));
    const isMoved = from.length > 0 && to.length > 0 && !isSameSet(from, to);
    return isMoved ? [{ host, pathPrefix, from, to }] : [];
  });
}

/** Whether a stream of the route that began at the service may have begun elsewhere for a router that does not know it. */
export function hasOtherServices(targets: readonly RouteTarget[], serviceName: string): boolean {
  return targets.some((target) => target.weight > 0 && target.serviceName !== serviceName);
}

function byPath({ configuration }: RouteTable): Map<string, Route> {
  return new Map(
    configuration.routes.map((route) => [JSON.stringify([route.host, route.pathPrefix]), route]),
  );
}

function beginningServices(route: Route | undefined): string[] {
  const targets = route?.kind === routeKinds.stream ? route.targets : [];
  return targets.filter(({ weight }) => weight > 0).map(({ serviceName }) => serviceName);
}

function hasSameServices(left: Route | undefined, right: Route | undefined): boolean {
  return (
    left !== undefined &&
    right !== undefined &&
    isSameSet(beginningServices(left), beginningServices(right))
  );
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
  return left.every((name) => right.includes(name)) && right.every((name) => left.includes(name));
}
