/**
 * What an acceptor knows of the platform's `accepted` and `status` objects: versions for conditional
 * writes, digests and routes. One entry a service; lives as long as one tenure of the lease.
 */
import type { Route } from '@bluebellhitch/document';
import { objectKinds, type StoredObject } from '@bluebellhitch/objects';
import { invariant } from '@bluebellhitch/shared';
import { summariseAccepted, type AcceptedSummary } from './acceptedSummary';
import { serviceStatusSchema, type ServiceStatus } from './serviceStatus';

interface KnownStatus {
  objectVersion: number;
  /** Absent where the stored value is not readable. */
  status?: ServiceStatus;
}

export interface AcceptorMemory {
  /** Remembers an `accepted` or `status` object as read or written. */
  note(object: StoredObject): void;
  /** Forgets the versions of objects that are not there any more; the generation is kept. */
  noteMissing(service: string, missing: { accepted: boolean; status: boolean }): void;
  /** The highest generation known, 0 where there is none. Never goes down. */
  generation(service: string): number;
  accepted(service: string): AcceptedSummary | undefined;
  /** Version of the `status` object, for the condition of the next write. */
  statusVersion(service: string): number | undefined;
  hasStatus(service: string, status: ServiceStatus): boolean;
  /** Whether this version of the document has been accepted and reported, as far as versions tell. */
  isSettled(document: StoredObject): boolean;
  services(): string[];
  routesInForce(): ReadonlyMap<string, readonly Route[]>;
  /** Records whether only other services' documents stand in the way of this one. */
  noteBlocked(service: string, blocked: boolean): void;
  blockedServices(): string[];
}

export function createAcceptorMemory(): AcceptorMemory {
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

  // The status carries the count as well, so that it survives an accepted object that somebody removed.
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
      statusText(statusByService.get(service)?.status) === statusText(status),
    isSettled,
    services: () => [...acceptedByService.keys()],
    routesInForce: () => routesByService,
    noteBlocked,
    blockedServices: () => [...blocked],
  };
}

/** Equal texts for equal statuses: parsing fixes the order of the fields. */
function statusText(status: ServiceStatus | undefined): string | undefined {
  return status && JSON.stringify(serviceStatusSchema.parse(status));
}
