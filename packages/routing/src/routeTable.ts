/** Looks up the route of a request by host and longest matching path prefix, and the workspace of an API key. */
import type { Configuration, Route, RouteTarget, ServiceSettings, Workspace } from './model';

export interface RouteTable {
  readonly configuration: Configuration;
  match(host: string, target: string): Route | undefined;
  service(name: string): ServiceSettings | undefined;
  /** Constant time for any number of keys. */
  workspaceOfKey(digest: string): Workspace | undefined;
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
  const workspaces = workspacesByKey(configuration.workspaces ?? []);
  return {
    configuration,
    match(host, target) {
      const path = pathOf(target);
      return byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    },
    service: (name) => services.get(name),
    workspaceOfKey: (digest) => workspaces.get(digest),
  };
}

/** A key that two workspaces share is valid for neither, since requests could be counted for the wrong one. */
function workspacesByKey(workspaces: readonly Workspace[]): Map<string, Workspace> {
  const byKey = new Map<string, Workspace>();
  const ambiguous = new Set<string>();
  workspaces.forEach((workspace) =>
    workspace.keyDigests.forEach((digest) => {
      const holder = byKey.get(digest);
      if (holder !== undefined && holder.name !== workspace.name) {
        ambiguous.add(digest);
      }
      byKey.set(digest, workspace);
    }),
  );
  ambiguous.forEach((digest) => byKey.delete(digest));
  return byKey;
}

/** Picks a target by weight; `fraction` lies in [0, 1). */
export function chooseTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  return targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

function pathOf(target: string): string {
  const queryAt = target.indexOf('?');
  return queryAt < 0 ? target : target.slice(0, queryAt);
}
