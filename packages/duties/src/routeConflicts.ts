/** Checks of a document against its key and the documents of other services. */
import type { Route, ServiceDocument } from '@bluebellhitch/document';
import type { Finding } from '@bluebellhitch/shared';

/** Active routes by service. */
export type RoutesByService = ReadonlyMap<string, readonly Route[]>;

/** The `service` field must equal the key of the object that contains the document. */
export function findKeyMismatch(key: string, document: ServiceDocument): Finding[] {
  if (document.service === key) {
    return [];
  }
  return [
    {
      path: 'service',
      message: `names "${document.service}", but this is the document of "${key}"`,
      hint: `write service: ${key}`,
    },
  ];
}

/** One finding for each route and other service with an active route that overlaps it. */
export function findRouteConflicts(
  document: ServiceDocument,
  activeRoutes: RoutesByService,
): Finding[] {
  const others = [...activeRoutes].filter(([service]) => service !== document.service);
  return document.routes.flatMap((route, index) =>
    others
      .filter(([, routes]) => routes.some((other) => routesOverlap(route, other)))
      .map(([service]) => ({
        path: `routes[${index}]`,
        message: `${describeRoute(route)} belongs to service "${service}" already`,
        hint: 'the route must leave that document first',
      })),
  );
}

function routesOverlap(left: Route, right: Route): boolean {
  return (
    left.host?.toLowerCase() === right.host?.toLowerCase() &&
    left.pathPrefix === right.pathPrefix &&
    methodsOverlap(left.methods, right.methods)
  );
}

function methodsOverlap(left: readonly string[] | undefined, right: readonly string[] | undefined) {
  if (left === undefined || right === undefined) {
    return true;
  }
  const upperCase = new Set(right.map((method) => method.toUpperCase()));
  return left.some((method) => upperCase.has(method.toUpperCase()));
}

function describeRoute(route: Route): string {
  return `${route.host ?? '(any host)'}${route.pathPrefix}`;
}
