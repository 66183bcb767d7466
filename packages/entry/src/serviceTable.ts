/** The active documents, and the lookup of the one that a request belongs to. */
import { acceptedDocumentSchema, type Route, type ServiceDocument } from '@bluebellhitch/document';

/** The active document of a service. */
export interface ServiceEntry {
  generation: number;
  document: ServiceDocument;
}

/** Service of a model request, and the name of the model or adapter in the engine. */
export interface ModelTarget {
  document: ServiceDocument;
  engineModel: string;
}

/** Service of a plain request, and the route that it matched. */
export interface PlainTarget {
  document: ServiceDocument;
  route: Route;
}

export interface PlainQuery {
  host?: string;
  /** Normalised path without query. */
  path: string;
  method: string;
}

export type PlainMatch =
  | { kind: 'found'; target: PlainTarget }
  /** Routes match the path, but none of them allows the method. */
  | { kind: 'method-not-allowed'; allowed: string[] }
  | { kind: 'none' };

export interface ServiceTable {
  /** Stores an `accepted` value; false if it is invalid or not newer than the active one. */
  put(value: unknown): boolean;
  /** Removes the service, unless a generation newer than this one is known. */
  remove(service: string, generation: number): void;
  get(service: string): ServiceEntry | undefined;
  list(): ServiceEntry[];
  findModel(name: string): ModelTarget | undefined;
  findPlain(query: PlainQuery): PlainMatch;
  /** Whether a route of a plain service names this host. */
  hasPlainHost(host: string): boolean;
}

export function createServiceTable(): ServiceTable {
  const services = new Map<string, ServiceEntry>();
  /** Highest known generation of each service, including removed ones, so that no generation is applied twice. */
  const generations = new Map<string, number>();

  function put(value: unknown): boolean {
    const parsed = acceptedDocumentSchema.safeParse(value);
    if (!parsed.success) {
      return false;
    }
    const { generation, document } = parsed.data;
    // A lagging relay may deliver an older document after a newer one. Applying it would silently undo an edit that its
    // team saw accepted, so only a generation above the highest known one is applied, whoever sent it.
    if (generation <= (generations.get(document.service) ?? 0)) {
      return false;
    }
    generations.set(document.service, generation);
    services.set(document.service, { generation, document });
    return true;
  }

  function remove(service: string, generation: number): void {
    if (generation >= (generations.get(service) ?? 0)) {
      generations.set(service, generation);
      services.delete(service);
    }
  }

  function findPlain(query: PlainQuery): PlainMatch {
    const candidates = [...services.values()]
      .filter(({ document }) => document.kind === 'plain')
      .flatMap(({ document }) => document.routes.map((route) => ({ document, route })))
      .filter(({ route }) => matchesHostAndPath(route, query));
    const allowed = candidates.filter(({ route }) => allowsMethod(route, query.method));
    const [best] = allowed.sort(
      (left, right) => specificity(right.route) - specificity(left.route),
    );
    if (best !== undefined) {
      return { kind: 'found', target: best };
    }
    const methods = candidates.flatMap(({ route }) => route.methods ?? []);
    return methods.length === 0
      ? { kind: 'none' }
      : { kind: 'method-not-allowed', allowed: [...new Set(methods)] };
  }

  return {
    put,
    remove,
    get: (service) => services.get(service),
    list: () => [...services.values()],
    findModel: (name) => resolveModel(name, (service) => services.get(service)?.document),
    findPlain,
    hasPlainHost: (host) =>
      [...services.values()].some(
        ({ document }) =>
          document.kind === 'plain' &&
          document.routes.some((route) => isSameHost(route.host, host)),
      ),
  };
}

/** Resolves `<service>` and `<service>/<model or adapter>`. */
function resolveModel(
  name: string,
  find: (service: string) => ServiceDocument | undefined,
): ModelTarget | undefined {
  const separator = name.indexOf('/');
  const service = separator === -1 ? name : name.slice(0, separator);
  const document = find(service);
  if (document?.kind !== 'model') {
    return undefined;
  }
  const requestedName = separator === -1 ? document.models[0]?.name : name.slice(separator + 1);
  const availableNames = document.models.flatMap((model) => [model.name, ...model.adapters]);
  return requestedName !== undefined && availableNames.includes(requestedName)
    ? { document, engineModel: requestedName }
    : undefined;
}

function matchesHostAndPath(route: Route, query: PlainQuery): boolean {
  const hostMatches =
    route.host === undefined || (query.host !== undefined && isSameHost(route.host, query.host));
  return hostMatches && isPathPrefix(route.pathPrefix, query.path);
}

function allowsMethod(route: Route, method: string): boolean {
  return route.methods?.includes(method) ?? true;
}

/** `/api` covers `/api` and `/api/x`, not `/apix`. */
function isPathPrefix(prefix: string, path: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

function isSameHost(pattern: string | undefined, host: string): boolean {
  return pattern !== undefined && pattern.toLowerCase() === withoutPort(host).toLowerCase();
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, '');
}

/** Routes with a host take precedence, then those with a longer prefix, then those that name methods. */
function specificity(route: Route): number {
  const hostWeight = route.host === undefined ? 0 : 1_000_000;
  return hostWeight + route.pathPrefix.length * 2 + (route.methods === undefined ? 0 : 1);
}
