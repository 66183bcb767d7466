/** One form for documents that mean the same, so that a mere change of order is no change. */
import type { Route, ServiceDocument } from './documentSchema';

/**
 * Sorts lists whose order means nothing. Classes and models keep theirs, because their first is the
 * default; routes keep theirs, so that findings can name them by the index that their author sees.
 */
export function normalizeDocument(document: ServiceDocument): ServiceDocument {
  const { drain, quarantine } = document;
  return {
    ...document,
    dataCentres: sorted(document.dataCentres),
    models: document.models.map((model) => ({ ...model, adapters: sorted(model.adapters) })),
    routes: document.routes.map(normalizeRoute),
    drain: { ...drain, instances: sorted(drain.instances) },
    quarantine: {
      ...quarantine,
      release: sorted(quarantine.release),
      block: sorted(quarantine.block),
    },
  };
}

/** Identifies a route within a document: `*` or its host, its path prefix and its methods. */
export function routeKey({ host, pathPrefix, methods }: Route): string {
  return `${methods?.join('|') ?? '*'} ${host ?? '*'}${pathPrefix}`;
}

function normalizeRoute(route: Route): Route {
  return {
    ...route,
    ...(route.host === undefined ? {} : { host: route.host.toLowerCase() }),
    ...(route.methods === undefined ? {} : { methods: sorted(route.methods) }),
  };
}

function sorted(values: readonly string[]): string[] {
  return [...new Set(values)].sort();
}
