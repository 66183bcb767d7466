/**
 * The accepting duty: turns valid edits of `document` objects into the next generation of their `accepted` objects, and
 * reports the result of each edit in the `status` objects.
 *
 * Two acceptors may run at once, because a paused holder does not know that its lease has expired. Correctness rests on
 * the conditional writes of `documentReconciler`; the lease only keeps two acceptors from duplicating work and from
 * accepting the same route for two services.
 */
import {
  objectKinds,
  type DutyLease,
  type PlatformApi,
  type StoredObject,
} from '@bluebellhitch/objects';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { createAcceptorCache, type AcceptorCache } from './acceptorCache';
import { createDocumentReconciler } from './documentReconciler';
import { silentLogger, type DutyLogger } from './dutyLogger';
import type { DocumentValidator } from './evaluateDocument';
import { createReconcileQueue, type ReconcileQueue } from './reconcileQueue';

export interface AcceptorOptions {
  platform: PlatformApi;
  lease: Pick<DutyLease, 'heldFencing'>;
  validate: DocumentValidator;
  logger?: DutyLogger;
  /** Longest time that one watch call waits for changes. */
  watchWaitMs?: number;
  /** Interval at which all objects are listed and compared again, regardless of what the watch reported. */
  resyncIntervalMs?: number;
  /** Pause after a failed call, and the interval at which an idle acceptor checks whether it holds the lease. */
  pauseMs?: number;
  /** Services that are reconciled concurrently. */
  concurrency?: number;
}

export interface Acceptor {
  /** Accepts documents whenever the lease is held, until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** A period of work under one fencing number. */
interface LeaseTerm {
  cache: AcceptorCache;
  queue: ReconcileQueue;
  isLeaseHeld(): boolean;
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
        await runTerm(fencingNumber, signal);
      }
      await delay(pauseMs, signal);
    }
  }

  async function runTerm(fencingNumber: number, signal: AbortSignal): Promise<void> {
    const isLeaseHeld = () =>
      !signal.aborted && lease.heldFencing()?.fencingNumber === fencingNumber;
    const cache = createAcceptorCache();
    const reconciler = createDocumentReconciler({
      platform,
      cache,
      validate,
      logger,
      isLeaseHeld,
      onAccepted: () => cache.blockedServices().forEach((service) => queue.add(service)),
    });
    const queue = createReconcileQueue({
      handle: reconciler.reconcile,
      concurrency,
      retryDelayMs: pauseMs,
    });
    const term = { cache, queue, isLeaseHeld, signal };
    const cursor = await resync(term);
    if (cursor !== undefined) {
      logger.info('accepting documents', { fencingNumber, services: cache.services().length });
      await followChanges(cursor, term);
    }
    queue.close();
  }

  /** Lists the documents last; for the reason see `documentReconciler`. Returns the cursor to watch from. */
  async function resync({ cache, queue }: LeaseTerm): Promise<string | undefined> {
    const [accepted, statuses] = await Promise.all([
      platform.list(objectKinds.accepted),
      platform.list(objectKinds.status),
    ]);
    const documents = await platform.list(objectKinds.document);
    if (accepted.isErr() || statuses.isErr() || documents.isErr()) {
      logger.warn('cannot list documents');
      return undefined;
    }
    [...accepted.value.objects, ...statuses.value.objects].forEach(cache.note);
    findUnsettledServices(documents.value.objects, cache).forEach(queue.add);
    return documents.value.cursor;
  }

  async function followChanges(startCursor: string, term: LeaseTerm): Promise<void> {
    const { queue, isLeaseHeld, signal } = term;
    const resyncAtMs = monotonicNowMs() + resyncIntervalMs;
    let cursor = startCursor;
    while (isLeaseHeld() && monotonicNowMs() < resyncAtMs) {
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

/** Services whose document was edited or removed since the last report, or was rejected: the cause may have ended. */
function findUnsettledServices(documents: readonly StoredObject[], cache: AcceptorCache): string[] {
  const edited = documents.filter((object) => !cache.isSettled(object)).map(({ key }) => key);
  const present = new Set(documents.map(({ key }) => key));
  const removed = cache.services().filter((service) => !present.has(service));
  return [...edited, ...removed];
}
