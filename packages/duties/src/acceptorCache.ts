/**
 * An acceptor's cache of the platform's `accepted` and `status` objects: versions for conditional writes, digests and
 * routes. It has one entry per service and lasts for one term of the lease.
 */
import type { Route } from '@bluebellhitch/document';
import { objectKinds, type StoredObject } from '@bluebellhitch/objects';
import { invariant } from '@bluebellhitch/shared';
import { summariseAccepted, type AcceptedSummary } from './acceptedSummary';
import { serviceStatusSchema, type ServiceStatus } from './serviceStatus';

interface KnownStatus {
  objectVersion: number;
  /** Absent if the stored value is unreadable. */
  status?: ServiceStatus;
}

export interface AcceptorCache {
  /** Stores an `accepted` or `status` object that was read or written. */
  note(object: StoredObject): void;
  /** Drops the entries of objects that no longer exist; the generation is kept. */
  noteMissing(service: string, missing: { accepted: boolean; status: boolean }): void;
  /** The highest known generation, 0 if there is none. Never decreases. */
  generation(service: string): number;
  accepted(service: string): AcceptedSummary | undefined;
  /** Version of the `status` object, which the next write is conditional on. */
  statusVersion(service: string): number | undefined;
  hasStatus(service: string, status: ServiceStatus): boolean;
  /** Whether this version of the document has been accepted and its acceptance reported, judging by versions. */
  isSettled(document: StoredObject): boolean;
  services(): string[];
  activeRoutes(): ReadonlyMap<string, readonly Route[]>;
  /** Records whether conflicts with other services' documents are all that keeps this one from being accepted. */
  noteBlocked(service: string, blocked: boolean): void;
  blockedServices(): string[];
}

export function createAcceptorCache(): AcceptorCache {
  const acceptedByService = new Map<string, AcceptedSummary>();
  const statusByService = new Map<string, KnownStatus>();
  const routesByService = new Map<string, readonly Route[]>();
  const generationByService = new Map<string, number>();
  const blocked = new Set<string>();

  function note(object: StoredObject): void {
    if (object.kind === objectKinds.accepted) {
      noteAccepted(object);
    } else {
      invariant(object.kind === objectKinds.status, 'only accepted and status objects are noted');
      noteStatus(object);
    }
  }

  function noteAccepted(object: StoredObject): void {
    const summary = summariseAccepted(object);
    acceptedByService.set(object.key, summary);
    routesByService.set(object.key, summary.routes);
    noteGeneration(object.key, summary.generation);
  }

  function noteStatus(object: StoredObject): void {
    const parsed = serviceStatusSchema.safeParse(object.value);
    statusByService.set(object.key, { objectVersion: object.version, status: parsed.data });
    noteGeneration(object.key, parsed.data?.generation ?? 0);
  }

  // The status holds the generation too, so that it is not lost when the accepted object is removed by hand.
  function noteGeneration(service: string, generation: number): void {
    generationByService.set(service, Math.max(generation, generationOf(service)));
  }

  function generationOf(service: string): number {
    return generationByService.get(service) ?? 0;
  }

  function noteMissing(service: string, missing: { accepted: boolean; status: boolean }): void {
    if (missing.accepted) {
      acceptedByService.delete(service);
      routesByService.delete(service);
    }
    if (missing.status) {
      statusByService.delete(service);
    }
  }

  function isSettled(document: StoredObject): boolean {
    const status = statusByService.get(document.key)?.status;
    return (
      status?.state === 'accepted' &&
      status.documentVersion === document.version &&
      status.generation === acceptedByService.get(document.key)?.generation
    );
  }

  function noteBlocked(service: string, isBlocked: boolean): void {
    if (isBlocked) {
      blocked.add(service);
    } else {
      blocked.delete(service);
    }
  }

  return {
    note,
    noteMissing,
    generation: generationOf,
    accepted: (service) => acceptedByService.get(service),
    statusVersion: (service) => statusByService.get(service)?.objectVersion,
    hasStatus: (service, status) =>
      serialiseStatus(statusByService.get(service)?.status) === serialiseStatus(status),
    isSettled,
    services: () => [...acceptedByService.keys()],
    activeRoutes: () => routesByService,
    noteBlocked,
    blockedServices: () => [...blocked],
  };
}

/** Equal statuses give equal texts, because parsing puts the fields in the order of the schema. */
function serialiseStatus(status: ServiceStatus | undefined): string | undefined {
  return status && JSON.stringify(serviceStatusSchema.parse(status));
}
