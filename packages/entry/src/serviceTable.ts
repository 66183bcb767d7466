/** The accepted documents in force, and which of them a request belongs to. */
import { acceptedDocumentSchema, type Route, type ServiceDocument } from '@bluebellhitch/document';

/** A service whose document this entry knows. */
export interface ServiceEntry {
  generation: number;
  document: ServiceDocument;
}

/** A model request's service and the engine's name of the model or adapter. */
export interface ModelTarget {
  document: ServiceDocument;
  engineModel: string;
}

/** A plain request's service and the route that it matched. */
export interface PlainTarget {
  document: ServiceDocument;
  route: Route;
}

export interface PlainQuery {
  host?: string;
  /** Normalised path without the query. */
  path: string;
  method: string;
}

export type PlainMatch =
  | { kind: 'found'; target: PlainTarget }
  /** A route has the path, but none has the method. */
  | { kind: 'method-not-allowed'; allowed: string[] }
  | { kind: 'none' };

export interface ServiceTable {
  /** Takes an `accepted` value; false where it is unusable or not newer than the one in force. */
  put(value: unknown): boolean;
  /** The service's document was removed at this generation. */
  remove(service: string, generation: number): void;
  get(service: string): ServiceEntry | undefined;
  list(): ServiceEntry[];
  findModel(name: string): ModelTarget | undefined;
  findPlain(query: PlainQuery): PlainMatch;
  /** Whether a plain service has the host to itself. */
  hasHost(host: string): boolean;
}

/** Creates an empty table. */
export function createServiceTable(): ServiceTable {
  const services = new Map<string, ServiceEntry>();
  /** Highest generation seen of each service, removed ones included: none is ever applied again. */
  const generations = new Map<string, number>();

  function put(value: unknown): boolean {
    const parsed = acceptedDocumentSchema.safeParse(value);
    if (!parsed.success) {
      return false;
    }
    const { generation, document } = parsed.data;
    // A relay may lag and offer an older document after a newer one; applying it would silently undo
    // an edit that its team saw accepted. The highest generation seen decides, whoever sent it.
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
      .filter(({ route }) => matchesPlace(route, query));
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
    hasHost: (host) =>
      [...services.values()].some(
        ({ document }) =>
          document.kind === 'plain' && document.routes.some((route) => sameHost(route.host, host)),
      ),
  };
}

/** Accepts `<service>` and `<service>/<model or adapter>`. */
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
  const wanted = separator === -1 ? document.models[0]?.name : name.slice(separator + 1);
  const offered = document.models.flatMap((model) => [model.name, ...model.adapters]);
  return wanted !== undefined && offered.includes(wanted)
    ? { document, engineModel: wanted }
    : undefined;
}

function matchesPlace(route: Route, query: PlainQuery): boolean {
  const hostMatches =
    route.host === undefined || (query.host !== undefined && sameHost(route.host, query.host));
  return hostMatches && isPathPrefix(route.pathPrefix, query.path);
}

function allowsMethod(route: Route, method: string): boolean {
  return route.methods?.includes(method) ?? true;
}

/** `/api` covers `/api` and `/api/x`, not `/apix`. */
function isPathPrefix(prefix: string, path: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

function sameHost(pattern: string | undefined, host: string): boolean {
  return pattern !== undefined && pattern.toLowerCase() === withoutPort(host).toLowerCase();
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, '');
}

/** A host counts more than any prefix, then the longest prefix, then a route that names methods. */
function specificity(route: Route): number {
  const hostWeight = route.host === undefined ? 0 : 1_000_000;
  return hostWeight + route.pathPrefix.length * 2 + (route.methods === undefined ? 0 : 1);
}
