/**
 * Brings one service's `accepted` and `status` objects in line with its `document` object.
 *
 * Each write is conditional on a version that was read before the document. A write that takes effect is therefore
 * based on a document at least as new as the one behind the value that it replaces, regardless of how long its sender
 * was paused and of what other acceptors wrote in the meantime.
 */
import type { ServiceDocument } from '@bluebellhitch/document';
import { objectKinds, type PlatformApi, type StoredObject } from '@bluebellhitch/objects';
import { invariant } from '@bluebellhitch/shared';
import type { AcceptorCache } from './acceptorCache';
import { writeConditionally, type ConditionalWrite } from './conditionalWrite';
import type { DutyLogger } from './dutyLogger';
import { evaluateDocument, type DocumentValidator, type Verdict } from './evaluateDocument';
import type { ServiceStatus } from './serviceStatus';

export interface DocumentReconcilerOptions {
  platform: PlatformApi;
  cache: AcceptorCache;
  validate: DocumentValidator;
  logger: DutyLogger;
  /** Whether the duty's lease is still held. */
  isLeaseHeld(): boolean;
  /** Called after each new generation has been written. */
  onAccepted(service: string): void;
}

export interface DocumentReconciler {
  reconcile(service: string): Promise<'done' | 'retry'>;
}

/** `read-back`: the stored state is unknown. `later`: no effect; the platform is unavailable or refuses the write. */
type StepOutcome = 'done' | 'read-back' | 'later';

/** Consecutive conflicts and lost responses before the service goes back to the queue. */
const maxSteps = 5;

export function createDocumentReconciler(options: DocumentReconcilerOptions): DocumentReconciler {
  const { platform, cache, validate, logger, isLeaseHeld, onAccepted } = options;

  async function reconcile(service: string): Promise<'done' | 'retry'> {
    for (let stepCount = 0; stepCount < maxSteps && isLeaseHeld(); stepCount += 1) {
      const step = await reconcileOnce(service);
      if (step === 'done') {
        return 'done';
      }
      if (step === 'later' || !(await readBack(service))) {
        return 'retry';
      }
    }
    return 'retry';
  }

  async function reconcileOnce(service: string): Promise<StepOutcome> {
    const stored = await platform.get(objectKinds.document, service);
    if (stored.isErr()) {
      return stored.error.kind === 'not-found' ? reportRemoval(service) : 'later';
    }
    const object = stored.value;
    const verdict = evaluate(object);
    if (verdict.kind === 'changed') {
      const accepted = await writeAccepted(object, verdict.document);
      if (accepted !== 'done') {
        return accepted;
      }
    }
    return writeStatus(service, describeVerdict(verdict, object));
  }

  function evaluate(object: StoredObject): Verdict {
    const verdict = evaluateDocument({
      object,
      accepted: cache.accepted(object.key),
      activeRoutes: cache.activeRoutes(),
      validate,
    });
    cache.noteBlocked(object.key, verdict.kind === 'rejected' && verdict.blocked);
    return verdict;
  }

  async function writeAccepted(
    object: StoredObject,
    document: ServiceDocument,
  ): Promise<StepOutcome> {
    const generation = cache.generation(object.key) + 1;
    const step = await write({
      kind: objectKinds.accepted,
      key: object.key,
      expectedVersion: cache.accepted(object.key)?.objectVersion,
      value: {
        generation,
        documentVersion: object.version,
        acceptedAt: new Date().toISOString(),
        document,
      },
    });
    if (step === 'done') {
      invariant(cache.generation(object.key) === generation, 'generations rise by one');
      logger.info('accepted a document', { service: object.key, generation });
      onAccepted(object.key);
    }
    return step;
  }

  async function writeStatus(service: string, status: ServiceStatus): Promise<StepOutcome> {
    if (cache.hasStatus(service, status)) {
      return 'done';
    }
    const expectedVersion = cache.statusVersion(service);
    return write({ kind: objectKinds.status, key: service, expectedVersion, value: status });
  }

  async function write(request: ConditionalWrite): Promise<StepOutcome> {
    // A process that was paused past its lease must not act on an earlier decision.
    if (!isLeaseHeld()) {
      return 'later';
    }
    const outcome = await writeConditionally(platform, request);
    switch (outcome.kind) {
      case 'written':
        cache.note(outcome.object);
        return 'done';
      case 'refused':
        logger.warn('the platform rejected a write', { ...request, value: undefined });
        return 'later';
      case 'read-back':
      case 'later':
        return outcome.kind;
      default:
        return outcome satisfies never;
    }
  }

  /** The last accepted document stays in force, so that removing an object does not cut off its service. */
  async function reportRemoval(service: string): Promise<StepOutcome> {
    cache.noteBlocked(service, false);
    const accepted = cache.accepted(service);
    if (accepted === undefined) {
      return 'done';
    }
    const { documentVersion, generation } = accepted;
    const message = `the document was removed; generation ${generation} stays in force`;
    const findings = [{ path: '', message }];
    return writeStatus(service, { documentVersion, state: 'accepted', generation, findings });
  }

  /** Refreshes the cache from the platform; false if the platform does not respond. */
  async function readBack(service: string): Promise<boolean> {
    const accepted = await platform.get(objectKinds.accepted, service);
    const status = await platform.get(objectKinds.status, service);
    const results = [accepted, status];
    results.forEach((result) => result.map(cache.note));
    cache.noteMissing(service, {
      accepted: accepted.isErr() && accepted.error.kind === 'not-found',
      status: status.isErr() && status.error.kind === 'not-found',
    });
    return results.every((result) => result.isOk() || result.error.kind === 'not-found');
  }

  function describeVerdict(verdict: Verdict, object: StoredObject): ServiceStatus {
    const rejected = verdict.kind === 'rejected';
    return {
      documentVersion: object.version,
      state: rejected ? 'rejected' : 'accepted',
      generation: cache.generation(object.key),
      findings: rejected ? verdict.findings : verdict.warnings,
    };
  }

  return { reconcile };
}
