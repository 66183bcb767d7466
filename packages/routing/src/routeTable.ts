/** Finds the route of a request: by host, then by the longest prefix of its path. */
import type { Configuration, Route, RouteTarget, ServiceSettings } from './model';

export interface RouteTable {
  readonly configuration: Configuration;
  match(host: string, target: string): Route | undefined;
  service(name: string): ServiceSettings | undefined;
}

export function createRouteTable(configuration: Configuration): RouteTable {
  const byHost = new Map<string, Route[]>();
  configuration.routes.forEach((route) => {
    const host = normalizeHost(route.host);
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  });
  byHost.forEach((routes) =>
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
  );
  const services = new Map(configuration.services.map((service) => [service.name, service]));
  return {
    configuration,
    match(host, target) {
      const path = pathOf(target);
      return byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    },
    service: (name) => services.get(name),
  };
}

/** Picks a target by weight; `fraction` lies in [0, 1). */
export function chooseTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = fraction * total;
  return targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

function pathOf(target: string): string {
  const queryAt = target.indexOf('?');
  return queryAt < 0 ? target : target.slice(0, queryAt);
}
