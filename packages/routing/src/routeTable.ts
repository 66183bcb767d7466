/** Looks up the route of a request by host and longest matching path prefix, and the workspace of an API key. */
import { createUrgencyLevels, noLevels, type UrgencyLevels } from '@bluebellhitch/decisions';
import type { Configuration, Route, RouteTarget, ServiceSettings, Workspace } from './model';

export interface RouteTable {
  readonly configuration: Configuration;
  match(host: string, target: string): Route | undefined;
  service(name: string): ServiceSettings | undefined;
  /** The levels for the priorities that the service's requests can have by this configuration. */
  urgencyLevels(serviceName: string): UrgencyLevels;
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
  const urgencyLevels = new Map(
    configuration.services.map(({ name }) => [
      name,
      createUrgencyLevels(prioritiesAt(name, configuration)),
    ]),
  );
  const workspaces = workspacesByKey(configuration.workspaces ?? []);
  return {
    configuration,
    match(host, target) {
      const path = pathOf(target);
      return byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    },
    service: (name) => services.get(name),
    urgencyLevels: (serviceName) => urgencyLevels.get(serviceName) ?? noLevels,
    workspaceOfKey: (digest) => workspaces.get(digest),
  };
}

/** Those of the workspaces, and those of the service's routes as far as no workspace's priority overrides them. */
function prioritiesAt(serviceName: string, { routes, workspaces }: Configuration): number[] {
  const overrides = new Set((workspaces ?? []).map(({ priority }) => priority));
  return routes
    .filter(({ targets }) => targets.some((target) => target.serviceName === serviceName))
    .flatMap(({ priority, allowsAnonymous }) => {
      const overridden = [...overrides].map((override) => override ?? priority);
      return workspaces === undefined || allowsAnonymous ? [priority, ...overridden] : overridden;
    });
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
