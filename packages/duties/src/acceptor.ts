/**
 * The accepting duty: turns valid edits of `document` objects into the next generation of their
 * `accepted` objects, and reports what became of each edit in the `status` objects.
 *
 * Two acceptors may run at once, because a paused holder does not know that its lease lapsed. The
 * conditional writes of `documentReconciler` are the safety; the lease only keeps two acceptors from
 * doing the same work and from accepting one route for two services.
 */
import {
  objectKinds,
  type DutyLease,
  type PlatformApi,
  type StoredObject,
} from '@bluebellhitch/objects';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { createAcceptorMemory, type AcceptorMemory } from './acceptorMemory';
import { createDocumentReconciler } from './documentReconciler';
import { silentLogger, type DutyLogger } from './dutyLogger';
import type { DocumentValidator } from './evaluateDocument';
import { createReconcileQueue, type ReconcileQueue } from './reconcileQueue';

export interface AcceptorOptions {
  platform: PlatformApi;
  lease: Pick<DutyLease, 'heldFencing'>;
  validate: DocumentValidator;
  logger?: DutyLogger;
  /** Longest wait of one watch call. */
  watchWaitMs?: number;
  /** Everything is listed and compared again after this long, whatever the watch said. */
  resyncIntervalMs?: number;
  /** Pause after a failed call; also how often a waiting acceptor looks whether it holds the lease. */
  pauseMs?: number;
  /** Services in work at once. */
  concurrency?: number;
}

export interface Acceptor {
  /** Works whenever the lease is held, until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** A stretch of work under one fencing number. */
interface Tenure {
  memory: AcceptorMemory;
  queue: ReconcileQueue;
  holds(): boolean;
  signal: AbortSignal;
}

export function createAcceptor(options: AcceptorOptions): Acceptor {
  const { platform, lease, validate, logger = silentLogger } = options;
  const { watchWaitMs = 10_000, resyncIntervalMs = 300_000 } = options;
  const { pauseMs = 200, concurrency = 8 } = options;

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const fencingNumber = lease.heldFencing()?.fencingNumber;
      if (fencingNumber !== undefined) {
        await runTenure(fencingNumber, signal);
      }
      await delay(pauseMs, signal);
    }
  }

  async function runTenure(fencingNumber: number, signal: AbortSignal): Promise<void> {
    const holds = () => !signal.aborted && lease.heldFencing()?.fencingNumber === fencingNumber;
    const memory = createAcceptorMemory();
    const reconciler = createDocumentReconciler({
      platform,
      memory,
      validate,
      logger,
      holds,
      onAccepted: () => memory.blockedServices().forEach((service) => queue.add(service)),
    });
    const queue = createReconcileQueue({
      handle: reconciler.reconcile,
      concurrency,
      retryDelayMs: pauseMs,
    });
    const tenure = { memory, queue, holds, signal };
    const cursor = await compareEverything(tenure);
    if (cursor !== undefined) {
      logger.info('accepting documents', { fencingNumber, services: memory.services().length });
      await followChanges(cursor, tenure);
    }
    queue.close();
  }

  /** Lists documents last: see the order of reads in `documentReconciler`. */
  async function compareEverything({ memory, queue }: Tenure): Promise<string | undefined> {
    const [accepted, statuses] = await Promise.all([
      platform.list(objectKinds.accepted),
      platform.list(objectKinds.status),
    ]);
    const documents = await platform.list(objectKinds.document);
    if (accepted.isErr() || statuses.isErr() || documents.isErr()) {
      logger.warn('cannot list documents');
      return undefined;
    }
    [...accepted.value.objects, ...statuses.value.objects].forEach(memory.note);
    unsettledServices(documents.value.objects, memory).forEach(queue.add);
    return documents.value.cursor;
  }

  async function followChanges(firstCursor: string, tenure: Tenure): Promise<void> {
    const { queue, holds, signal } = tenure;
    const resyncAtMs = monotonicNowMs() + resyncIntervalMs;
    let cursor = firstCursor;
    while (holds() && monotonicNowMs() < resyncAtMs) {
      const reply = await platform.watch(objectKinds.document, cursor, watchWaitMs, signal);
      if (reply.isErr()) {
        await delay(pauseMs, signal);
      } else if (reply.value.compacted) {
        return;
      } else {
        cursor = reply.value.cursor;
        reply.value.events
          .map((event) => (event.kind === 'put' ? event.object.key : event.key))
          .forEach(queue.add);
      }
    }
  }

  return { run };
}

/** Edited or removed since they were last reported, or rejected: the reason may be gone. */
function unsettledServices(documents: readonly StoredObject[], memory: AcceptorMemory): string[] {
  const edited = documents.filter((object) => !memory.isSettled(object)).map(({ key }) => key);
  const present = new Set(documents.map(({ key }) => key));
  const removed = memory.services().filter((service) => !present.has(service));
  return [...edited, ...removed];
}
