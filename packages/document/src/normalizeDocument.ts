/** Canonical form of documents, in which a change of order without meaning makes no difference. */
import type { Route, ServiceDocument } from './documentSchema';

/**
 * Sorts lists whose order has no meaning. Classes and models keep their order, because the first is the
 * default; routes keep theirs, so that findings can refer to them by the index that their author sees.
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

/** Key of a route within a document: its methods, host and path prefix, with `*` for absent ones. */
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
