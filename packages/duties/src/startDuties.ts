/**
 * Runs the duties that need one holder at a time inside an entry: accepting documents, and ordering
 * the workers of each model service. Starts and stops competing as the list of instances and the
 * accepted documents change.
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
import { createOrderHolder, type DocumentInForce, type OrderHolderSettings } from './orderHolder';
import { orderLeaseKey } from './orderSender';

export interface StartDutiesOptions {
  platform: PlatformApi;
  /** The entry's instance id. */
  holderId: string;
  /** The list of instances as this entry knows it. */
  instances(): readonly PlatformInstance[];
  /** The accepted documents that this entry has applied. */
  documents(): readonly DocumentInForce[];
  agentClient: OrderAgentClient;
  logger?: DutyLogger;
  random?: Random;
  orderSettings?: Partial<OrderHolderSettings>;
}

export interface Duties {
  /** Stops all duties and releases their leases. */
  stop(): Promise<void>;
}

/** Lease key of the accepting duty: one for the whole fleet, see docs/design/configuration.md. */
export const acceptLeaseKey = 'accept';

/** The holder and two that take over within seconds. */
const acceptCompetitors = 3;
/** An order may wait until the list of instances has dropped a dead holder; one more for the lag. */
const orderCompetitors = 2;
const rankIntervalMs = 1000;
/**
 * Short, so that documents are accepted within seconds of the holder's death, and long enough to be
 * renewed while the platform takes most of a second to answer.
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
  /** Duties that stop; one starts anew only when its earlier run has ended. */
  const stopping = new Map<string, Promise<void>>();
  const rankOf = createDutyRanks(holderId, instances);
  const timer = setInterval(competeByRank, rankIntervalMs);
  competeByRank();

  function competeByRank(): void {
    compete(acceptLeaseKey, rankOf(acceptLeaseKey), acceptCompetitors, startAcceptor);
    const services = documents().map(({ document }) => document);
    services
      .filter(({ kind }) => kind === 'model')
      .forEach(({ service, dataCentres }) => {
        const key = orderLeaseKey(service);
        compete(key, rankOf(key, dataCentres), orderCompetitors, () => startOrders(service));
      });
  }

  /** A holder keeps its duty when others come before it, so that new entries move no duties. */
  function compete(
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

  function startOrders(service: string): RunningDuty {
    const lease = createLease(orderLeaseKey(service), orderLease);
    const find = () => documents().find(({ document }) => document.service === service);
    const holder = createOrderHolder({
      service,
      holderId,
      lease,
      agentClient,
      document: find,
      instances: () => instances().filter((one) => one.kind === 'agent' && one.service === service),
      rank: () => rankOf(orderLeaseKey(service), find()?.document.dataCentres) ?? 0,
      logger,
      random,
      settings: options.orderSettings,
    });
    return runTask(lease, holder.run);
  }

  function runTask(lease: DutyLease, run: (signal: AbortSignal) => Promise<void>): RunningDuty {
    const aborting = new AbortController();
    const ended = run(aborting.signal);
    return {
      lease,
      stop: async () => {
        aborting.abort();
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
      onLost: (fencingNumber) => logger.info('duty given up', { key, fencingNumber }),
    });
  }

  async function stop(): Promise<void> {
    clearInterval(timer);
    [...running].forEach(([key, duty]) => stopDuty(key, duty));
    await Promise.all(stopping.values());
  }

  return { stop };
}
