/**
 * Keeps the engines of each service divided between prefill and decode. One process at a time orders, under
 * a lease in the object store that it takes only while there is something to order.
 */
import type { DutyLease, DutyLeaseOptions } from '@bluebellhitch/objects';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import type { BackendApi } from './backendApi';
import type { ServiceSettings, Stage } from './model';
import type { ServerDirectory } from './serverDirectory';
import { planStageChanges, type StageChange } from './stagePlan';

export interface StageKeeperOptions {
  directory: ServerDirectory;
  backend: Pick<BackendApi, 'readLoad' | 'orderStage'>;
  /** Services with engines, by the configuration in force. */
  services: () => readonly ServiceSettings[];
  createLease: (options: Pick<DutyLeaseOptions, 'key' | 'ttlMs' | 'marginMs'>) => DutyLease;
  holderId: string;
  /** Two holders' orders lie at least this far apart. */
  leaseMs: number;
  /** Part of the engines' work that is reading prompts. */
  prefillShare: (serviceName: string) => number;
  /** Whether this process is one of the few that order; all, where it is absent. */
  mayContend?: () => boolean;
  logger: Logger;
  random?: Random;
}

interface PendingChange {
  stage: Stage;
  untilMs: number;
}

/** Between two looks at the pools. */
const lookMs = 400;
/** A pool whose list has just changed may still be growing, or losing a server that restarts. */
const settledMs = 1_200;
/** The lease is kept this long without an order, for engines that change to show it in the list. */
const idleReleaseMs = 4_000;
/** An order's answer; an order that arrives later is one that two holders might overlap in. */
const orderTimeoutMs = 600;
/** A lease is usable for this long at least, whatever the bound between two holders. */
const leastUseMs = 2_000;
/** Running work ends before an engine changes: a long answer's time. */
const runOutMs = 10_000;

export function createStageKeeper(options: StageKeeperOptions): BackgroundLoop {
  const { directory, backend, services, holderId, leaseMs, logger, random = Math.random } = options;
  const marginMs = orderTimeoutMs + leaseMs / 2;
  const lease = options.createLease({
    key: 'engine-stages',
    ttlMs: marginMs + Math.max(leaseMs, leastUseMs),
    marginMs,
  });
  const pending = new Map<string, PendingChange>();
  let heldSinceMs: number | undefined;
  let firstFencing: number | undefined;
  let lastOrderAtMs = -Infinity;
  /** Another holds the lease: looking again sooner is a call for nothing. */
  let contendsFromMs = -Infinity;

  function nextChanges(service: ServiceSettings): StageChange[] {
    const engines = directory.usable(service.name).filter(({ stage }) => stage !== undefined);
    return planStageChanges({
      engines,
      pending: new Map([...pending].map(([id, { stage }]) => [id, stage])),
      prefillShare: options.prefillShare(service.name),
    });
  }

  function forgetDone(): void {
    const nowMs = monotonicNowMs();
    [...pending]
      .filter(([id, { stage, untilMs }]) => {
        const server = directory.get(id);
        return server === undefined || server.stage === stage || untilMs < nowMs;
      })
      .forEach(([id]) => pending.delete(id));
  }

  function isSettled(): boolean {
    return monotonicNowMs() - directory.membershipChangedAtMs() >= settledMs;
  }

  /** Whether this process may order now; takes the lease where it is free. */
  async function mayOrder(): Promise<boolean> {
    const isContender = options.mayContend?.() ?? true;
    if (lease.heldFencing() === undefined && (!isContender || monotonicNowMs() < contendsFromMs)) {
      return false;
    }
    const held = await lease.acquireOrRenew();
    if (held.isErr()) {
      heldSinceMs = undefined;
      contendsFromMs = monotonicNowMs() + leaseMs * (0.5 + 0.5 * random());
      return false;
    }
    const { fencingNumber, isFirst } = held.value;
    if (heldSinceMs === undefined || firstFencing !== fencingNumber) {
      heldSinceMs = monotonicNowMs();
      firstFencing = fencingNumber;
      logger.info('holding the lease of stage orders', { fencingNumber });
    }
    // The holder before may have sent its last order just before its lease ended.
    return isFirst || monotonicNowMs() - heldSinceMs >= leaseMs;
  }

  async function order(change: StageChange, service: ServiceSettings): Promise<void> {
    const { server, stage } = change;
    const load = await backend.readLoad(server, orderTimeoutMs);
    const fencing = lease.heldFencing();
    if (load.kind !== 'done' || fencing === undefined || load.value.isBusyWithOrder) {
      return;
    }
    if (load.value.bornAtMs !== undefined && load.value.bornAtMs !== server.bornAtMs) {
      // It has started again since the plan was made: the list will tell what it is now.
      return;
    }
    lastOrderAtMs = monotonicNowMs();
    const outcome = await backend.orderStage(
      server,
      {
        stage,
        holderId,
        fencingNumber: fencing.fencingNumber,
        expectedOrderCount: load.value.orderCount,
      },
      orderTimeoutMs,
    );
    logger.info('stage ordered', { serverId: server.id, stage, outcome, service: service.name });
    // Without an answer the order may still be carried out.
    if (outcome.kind !== 'not-run') {
      const switchMs = service.engine?.stageSwitchMs ?? 0;
      pending.set(server.id, { stage, untilMs: monotonicNowMs() + switchMs + runOutMs });
    }
  }

  async function look(): Promise<void> {
    forgetDone();
    const planned = isSettled()
      ? services().flatMap((service) => nextChanges(service).map((change) => ({ change, service })))
      : [];
    if (planned.length === 0) {
      await releaseWhenIdle();
      return;
    }
    if (await mayOrder()) {
      await Promise.all(planned.map(({ change, service }) => order(change, service)));
    }
  }

  async function releaseWhenIdle(): Promise<void> {
    if (lease.heldFencing() === undefined) {
      heldSinceMs = undefined;
      return;
    }
    if (pending.size > 0) {
      await lease.acquireOrRenew();
    } else if (monotonicNowMs() - lastOrderAtMs > idleReleaseMs) {
      heldSinceMs = undefined;
      await lease.release();
    }
  }

  return createBackgroundLoop(async (signal) => {
    // Processes that start together do not all write at once.
    await delay(lookMs * random(), signal);
    while (!signal.aborted) {
      await look();
      await delay(lookMs * (0.8 + 0.4 * random()), signal);
    }
    await lease.release();
  });
}
