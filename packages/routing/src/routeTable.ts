/** Looks up the route of a request by host and longest matching path prefix, and the workspace of an API key. */
import type { Configuration, Route, RouteTarget, ServiceSettings, Workspace } from './model';

export interface RouteTable {
  readonly configuration: Configuration;
  match(host: string, target: string): Route | undefined;
  service(name: string): ServiceSettings | undefined;
  /** Constant time for any number of keys. */
  workspaceOfKey(digest: string): Workspace | undefined;
  /** Whether an earlier configuration of this process had the key, and this one does not. */
  isRevokedKey(digest: string): boolean;
  /** Digests of such keys, the latest last. */
  readonly revokedKeyDigests: readonly string[];
}

/** Bounds the memory of revoked keys; beyond it the earliest are forgotten. */
const maxRevokedKeys = 16_384;

/** `previous` is the table of the configuration that was in force before. */
export function createRouteTable(configuration: Configuration, previous?: RouteTable): RouteTable {
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
  const revokedKeys = new Set(revokedKeyDigests(configuration, previous));
  return {
    configuration,
    match(host, target) {
      const path = pathOf(target);
      return byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    },
    service: (name) => services.get(name),
    workspaceOfKey: (digest) => workspaces.get(digest),
    isRevokedKey: (digest) => revokedKeys.has(digest),
    revokedKeyDigests: [...revokedKeys],
  };
}

function revokedKeyDigests(
  { workspaces = [] }: Configuration,
  previous: RouteTable | undefined,
): string[] {
  if (previous === undefined) {
    return [];
  }
  const current = new Set(workspaces.flatMap(({ keyDigests }) => keyDigests));
  const earlier = previous.configuration.workspaces ?? [];
  return [...previous.revokedKeyDigests, ...earlier.flatMap(({ keyDigests }) => keyDigests)]
    .filter((digest) => !current.has(digest))
    .slice(-maxRevokedKeys);
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

/** Whether a request would match the route if there were no longer one. */
export function isOnPath(
  { host, pathPrefix }: Pick<Route, 'host' | 'pathPrefix'>,
  request: { host: string; target: string },
): boolean {
  const isSameHost = normalizeHost(host) === normalizeHost(request.host);
  return isSameHost && pathOf(request.target).startsWith(pathPrefix);
}

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

function pathOf(target: string): string {
  const queryAt = target.indexOf('?');
  return queryAt < 0 ? target : target.slice(0, queryAt);
}
