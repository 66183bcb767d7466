/**
 * Runs an entry's part in the duties that have one holder at a time: accepting documents, and sending orders to the
 * workers of each model service. Starts and stops competing for their leases as the list of instances and the accepted
 * documents change.
 */
import { parseDocument } from '@bluebellhitch/document';
import {
  createDutyLease,
  type DutyLease,
  type PlatformApi,
  type PlatformInstance,
} from '@bluebellhitch/objects';
import type { Random } from '@bluebellhitch/shared';
import { createAcceptor } from './acceptor';
import { silentLogger, type DutyLogger } from './dutyLogger';
import { createDutyRanks } from './dutyRanks';
import type { OrderAgentClient } from './orderAgentClient';
import {
  createOrderReconciler,
  type ActiveDocument,
  type OrderReconcilerSettings,
} from './orderReconciler';
import { orderLeaseKey } from './orderSender';

export interface StartDutiesOptions {
  platform: PlatformApi;
  /** The entry's instance id. */
  holderId: string;
  /** The list of instances as known to this entry. */
  instances(): readonly PlatformInstance[];
  /** The accepted documents that this entry has applied. */
  documents(): readonly ActiveDocument[];
  agentClient: OrderAgentClient;
  logger?: DutyLogger;
  random?: Random;
  orderSettings?: Partial<OrderReconcilerSettings>;
}

export interface Duties {
  /** Stops all duties and releases their leases. */
  stop(): Promise<void>;
}

/** Lease key of the accepting duty: one for the whole fleet, see docs/design/configuration.md. */
export const acceptLeaseKey = 'accept';

/** Entries that compete for the accepting duty: the holder and two that can take over within seconds. */
const acceptCompetitors = 3;
/**
 * Entries that compete for an order duty. Orders may wait until the list of instances has dropped a crashed holder; the
 * second competitor covers the lag of the list.
 */
const orderCompetitors = 2;
const rankIntervalMs = 1000;
/**
 * Short enough for documents to be accepted within seconds of the holder's crash, and long enough to be renewed while
 * the platform takes most of a second to respond.
 */
const acceptLease = { ttlMs: 3000, marginMs: 500, renewMs: 600, contendMs: 600 };
const orderLease = { ttlMs: 6000, marginMs: 1500, renewMs: 1500, contendMs: 3000 };

interface RunningDuty {
  lease: DutyLease;
  stop(): Promise<void>;
}

export function startDuties(options: StartDutiesOptions): Duties {
  const { platform, holderId, instances, documents, agentClient } = options;
  const { logger = silentLogger, random = Math.random } = options;
  /** By lease key. */
  const running = new Map<string, RunningDuty>();
  /** Duties that are stopping; a duty starts again only after its earlier run has ended. */
  const stopping = new Map<string, Promise<void>>();
  const rankOf = createDutyRanks(holderId, instances);
  const timer = setInterval(updateDuties, rankIntervalMs);
  updateDuties();

  function updateDuties(): void {
    startOrStopDuty(acceptLeaseKey, rankOf(acceptLeaseKey), acceptCompetitors, startAcceptor);
    const services = documents().map(({ document }) => document);
    services
      .filter(({ kind }) => kind === 'model')
      .forEach(({ service, dataCentres }) => {
        const key = orderLeaseKey(service);
        startOrStopDuty(key, rankOf(key, dataCentres), orderCompetitors, () =>
          startOrderReconciler(service),
        );
      });
  }

  /** A holder keeps its duty even when other entries outrank it, so that new entries do not cause duties to move. */
  function startOrStopDuty(
    key: string,
    rank: number | undefined,
    competitors: number,
    start: () => RunningDuty,
  ): void {
    const isWanted = rank !== undefined && rank < competitors;
    const duty = running.get(key);
    if (isWanted && duty === undefined && !stopping.has(key)) {
      running.set(key, start());
    }
    if (!isWanted && duty !== undefined && duty.lease.heldFencing() === undefined) {
      stopDuty(key, duty);
    }
  }

  function stopDuty(key: string, duty: RunningDuty): void {
    running.delete(key);
    stopping.set(
      key,
      duty.stop().finally(() => stopping.delete(key)),
    );
  }

  function startAcceptor(): RunningDuty {
    const lease = createLease(acceptLeaseKey, acceptLease);
    const acceptor = createAcceptor({ platform, lease, validate: parseDocument, logger });
    lease.start();
    return runTask(lease, acceptor.run);
  }

  function startOrderReconciler(service: string): RunningDuty {
    const lease = createLease(orderLeaseKey(service), orderLease);
    const findDocument = () => documents().find(({ document }) => document.service === service);
    const reconciler = createOrderReconciler({
      service,
      holderId,
      lease,
      agentClient,
      document: findDocument,
      instances: () =>
        instances().filter((instance) => instance.kind === 'agent' && instance.service === service),
      rank: () => rankOf(orderLeaseKey(service), findDocument()?.document.dataCentres) ?? 0,
      logger,
      random,
      settings: options.orderSettings,
    });
    return runTask(lease, reconciler.run);
  }

  function runTask(lease: DutyLease, run: (signal: AbortSignal) => Promise<void>): RunningDuty {
    const abortController = new AbortController();
    const ended = run(abortController.signal);
    return {
      lease,
      stop: async () => {
        abortController.abort();
        await ended;
        await lease.stop();
      },
    };
  }

  function createLease(key: string, times: typeof acceptLease): DutyLease {
    return createDutyLease({
      platform,
      key,
      holderId,
      random,
      ...times,
      onAcquired: (fencingNumber) => logger.info('duty acquired', { key, fencingNumber }),
      onLost: (fencingNumber) => logger.info('duty lost or released', { key, fencingNumber }),
    });
  }

  async function stop(): Promise<void> {
    clearInterval(timer);
    [...running].forEach(([key, duty]) => stopDuty(key, duty));
    await Promise.all(stopping.values());
  }

  return { stop };
}
