/**
 * Brings one service's `accepted` and `status` objects in line with its `document` object.
 *
 * Each write is conditional on a version that was read before the document was. A write that takes
 * effect was therefore made from a document at least as new as the one behind the value it replaces,
 * however long its sender was paused and whoever else accepted meanwhile.
 */
import type { ServiceDocument } from '@bluebellhitch/document';
import { objectKinds, type PlatformApi, type StoredObject } from '@bluebellhitch/objects';
import { invariant } from '@bluebellhitch/shared';
import type { AcceptorMemory } from './acceptorMemory';
import { writeConditionally, type ConditionalWrite } from './conditionalWrite';
import type { DutyLogger } from './dutyLogger';
import { evaluateDocument, type DocumentValidator, type Verdict } from './evaluateDocument';
import type { ServiceStatus } from './serviceStatus';

export interface DocumentReconcilerOptions {
  platform: PlatformApi;
  memory: AcceptorMemory;
  validate: DocumentValidator;
  logger: DutyLogger;
  /** Whether the duty's lease is still held. */
  holds(): boolean;
  /** Called after each new generation. */
  onAccepted(service: string): void;
}

export interface DocumentReconciler {
  reconcile(service: string): Promise<'done' | 'retry'>;
}

/** `read-back`: what is stored is not known any more. `later`: no effect, the platform is away. */
type Step = 'done' | 'read-back' | 'later';

/** Lost races and lost answers in a row before the service waits for its next turn. */
const maxSteps = 5;

export function createDocumentReconciler(options: DocumentReconcilerOptions): DocumentReconciler {
  const { platform, memory, validate, logger, holds, onAccepted } = options;

  async function reconcile(service: string): Promise<'done' | 'retry'> {
    for (let stepCount = 0; stepCount < maxSteps && holds(); stepCount += 1) {
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

  async function reconcileOnce(service: string): Promise<Step> {
    const read = await platform.get(objectKinds.document, service);
    if (read.isErr()) {
      return read.error.kind === 'not-found' ? reportRemoval(service) : 'later';
    }
    const object = read.value;
    const verdict = judge(object);
    if (verdict.kind === 'changed') {
      const accepted = await writeAccepted(object, verdict.document);
      if (accepted !== 'done') {
        return accepted;
      }
    }
    return writeStatus(service, describeVerdict(verdict, object));
  }

  function judge(object: StoredObject): Verdict {
    const verdict = evaluateDocument({
      object,
      accepted: memory.accepted(object.key),
      routesInForce: memory.routesInForce(),
      validate,
    });
    memory.noteBlocked(object.key, verdict.kind === 'rejected' && verdict.blocked);
    return verdict;
  }

  async function writeAccepted(object: StoredObject, document: ServiceDocument): Promise<Step> {
    const generation = memory.generation(object.key) + 1;
    const step = await write({
      kind: objectKinds.accepted,
      key: object.key,
      expectedVersion: memory.accepted(object.key)?.objectVersion,
      value: {
        generation,
        documentVersion: object.version,
        acceptedAt: new Date().toISOString(),
        document,
      },
    });
    if (step === 'done') {
      invariant(memory.generation(object.key) === generation, 'generations rise by one');
      logger.info('accepted a document', { service: object.key, generation });
      onAccepted(object.key);
    }
    return step;
  }

  async function writeStatus(service: string, status: ServiceStatus): Promise<Step> {
    if (memory.hasStatus(service, status)) {
      return 'done';
    }
    const expectedVersion = memory.statusVersion(service);
    return write({ kind: objectKinds.status, key: service, expectedVersion, value: status });
  }

  async function write(options_: ConditionalWrite): Promise<Step> {
    // A holder that slept through its lease must not act on what it decided before.
    if (!holds()) {
      return 'later';
    }
    const outcome = await writeConditionally(platform, options_);
    switch (outcome.kind) {
      case 'written':
        memory.note(outcome.object);
        return 'done';
      case 'refused':
        logger.warn('the platform refuses a value', { ...options_, value: undefined });
        return 'later';
      case 'read-back':
      case 'later':
        return outcome.kind;
      default:
        return outcome satisfies never;
    }
  }

  /** The last accepted document stays in force: removing an object must not cut off a service. */
  async function reportRemoval(service: string): Promise<Step> {
    memory.noteBlocked(service, false);
    const accepted = memory.accepted(service);
    if (accepted === undefined) {
      return 'done';
    }
    const { documentVersion, generation } = accepted;
    const message = `the document was removed; generation ${generation} stays in force`;
    const findings = [{ path: '', message }];
    return writeStatus(service, { documentVersion, state: 'accepted', generation, findings });
  }

  /** Learns what is stored now; false where the platform does not say. */
  async function readBack(service: string): Promise<boolean> {
    const accepted = await platform.get(objectKinds.accepted, service);
    const status = await platform.get(objectKinds.status, service);
    const results = [accepted, status];
    results.forEach((result) => result.map(memory.note));
    memory.noteMissing(service, {
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
      generation: memory.generation(object.key),
      findings: rejected ? verdict.findings : verdict.remarks,
    };
  }

  return { reconcile };
}
