/**
 * Balances the engines of each service between prefill and decode. Only one process at a time sends stage orders, under
 * a lease in the object store that it holds only while there are changes to make.
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
import type { BackendApi } from '../backendApi';
import type { ServiceSettings, Stage } from '../model';
import type { ServerDirectory } from './serverDirectory';
import { planStageChanges, type StageChange } from './stagePlan';

export interface StageBalancerOptions {
  directory: ServerDirectory;
  backend: Pick<BackendApi, 'readLoad' | 'orderStage'>;
  /** Services with engines, from the current configuration. */
  services: () => readonly ServiceSettings[];
  createLease: (options: Pick<DutyLeaseOptions, 'key' | 'ttlMs' | 'marginMs'>) => DutyLease;
  holderId: string;
  /** Minimum time between the orders of two successive lease holders. */
  leaseMs: number;
  /** Share of the engines' work that is prefill, in (0, 1). */
  prefillShare: (serviceName: string) => number;
  /** Whether this process may try to acquire the lease; by default every process may. */
  mayContend?: () => boolean;
  logger: Logger;
  random?: Random;
}

interface PendingChange {
  stage: Stage;
  untilMs: number;
}

const reconcileIntervalMs = 400;
/** No plan is made this soon after a membership change: more servers may be joining, or one may be restarting. */
const settleMs = 1_200;
/** The lease is kept this long after the last order, until the directory shows the engines' new stages. */
const idleReleaseMs = 4_000;
/** Time-out of an order: one that arrived later might overlap with an order of the next lease holder. */
const orderTimeoutMs = 600;
/** A lease is usable for at least this long, whatever `leaseMs` is. */
const minUsableMs = 2_000;
/** An engine finishes its running work before it changes; this allows for a long response. */
const drainMs = 10_000;

export function createStageBalancer(options: StageBalancerOptions): BackgroundLoop {
  const { directory, backend, services, holderId, leaseMs, logger, random = Math.random } = options;
  const marginMs = orderTimeoutMs + leaseMs / 2;
  const lease = options.createLease({
    key: 'engine-stages',
    ttlMs: marginMs + Math.max(leaseMs, minUsableMs),
    marginMs,
  });
  const pending = new Map<string, PendingChange>();
  let heldSinceMs: number | undefined;
  let heldFencingNumber: number | undefined;
  let lastOrderAtMs = -Infinity;
  /** When to try to acquire the lease again after another process held it; an earlier try would be wasted. */
  let nextAcquireAtMs = -Infinity;

  function planChanges(service: ServiceSettings): StageChange[] {
    const engines = directory.usable(service.name).filter(({ stage }) => stage !== undefined);
    return planStageChanges({
      engines,
      pending: new Map([...pending].map(([id, { stage }]) => [id, stage])),
      prefillShare: options.prefillShare(service.name),
    });
  }

  function dropCompleted(): void {
    const nowMs = monotonicNowMs();
    [...pending]
      .filter(([id, { stage, untilMs }]) => {
        const server = directory.get(id);
        return server === undefined || server.stage === stage || untilMs < nowMs;
      })
      .forEach(([id]) => pending.delete(id));
  }

  function isSettled(): boolean {
    return monotonicNowMs() - directory.membershipChangedAtMs() >= settleMs;
  }

  /** Whether this process may send orders now; acquires the lease if it is free. */
  async function mayOrder(): Promise<boolean> {
    const isContender = options.mayContend?.() ?? true;
    if (lease.heldFencing() === undefined && (!isContender || monotonicNowMs() < nextAcquireAtMs)) {
      return false;
    }
    const held = await lease.acquireOrRenew();
    if (held.isErr()) {
      heldSinceMs = undefined;
      nextAcquireAtMs = monotonicNowMs() + leaseMs * (0.5 + 0.5 * random());
      return false;
    }
    const { fencingNumber, isFirst } = held.value;
    if (heldSinceMs === undefined || heldFencingNumber !== fencingNumber) {
      heldSinceMs = monotonicNowMs();
      heldFencingNumber = fencingNumber;
      logger.info('lease for stage orders acquired', { fencingNumber });
    }
    // The previous holder may have sent its last order just before its lease expired.
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
      // The engine has restarted since the plan was made; the directory will show its new stage.
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
    // An order without a response may still be carried out.
    if (outcome.kind !== 'not-run') {
      const switchMs = service.engine?.stageSwitchMs ?? 0;
      pending.set(server.id, { stage, untilMs: monotonicNowMs() + switchMs + drainMs });
    }
  }

  async function reconcile(): Promise<void> {
    dropCompleted();
    const planned = isSettled()
      ? services().flatMap((service) => planChanges(service).map((change) => ({ change, service })))
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
    // Processes that start together must not all write at the same time.
    await delay(reconcileIntervalMs * random(), signal);
    while (!signal.aborted) {
      await reconcile();
      await delay(reconcileIntervalMs * (0.8 + 0.4 * random()), signal);
    }
    await lease.release();
  });
}
