/** In-memory agents that run one order at a time and check its fencing number, as real agents do. */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { PlatformApi, PlatformInstance } from '@bluebellhitch/objects';
import type { EngineOrder, OrderReply, OrderRequest, WorkerRole } from '@bluebellhitch/protocol';
import { delay } from '@bluebellhitch/shared';
import type { OrderAgentClient } from '../../src/orderAgentClient';

export interface FleetOptions {
  platform: PlatformApi;
  service: string;
  workerCount: number;
  loadMs?: number;
}

interface FleetWorker {
  instance: PlatformInstance;
  role: WorkerRole;
  models: { model: string; version: string }[];
  queue: Promise<unknown>;
  outOfService: boolean;
  /** Result of loads on this worker: success, a reported failure, or a reported success without effect. */
  loads: 'work' | 'fail' | 'vanish';
}

/** An order that took effect, and the lease's fencing number at that moment. */
export interface AppliedOrder {
  request: OrderRequest;
  currentNumber: number;
}

export type WorkerFleet = ReturnType<typeof createWorkerFleet>;

export function createWorkerFleet({ platform, service, workerCount, loadMs = 4000 }: FleetOptions) {
  const workers = Array.from({ length: workerCount }, (_, index) => createWorker(service, index));
  const unlisted = new Set<string>();
  const received: OrderRequest[] = [];
  const applied: AppliedOrder[] = [];
  let maxOutOfService = 0;
  let maxLoads = 0;
  let loads = 0;

  function find(address: string): FleetWorker | undefined {
    return workers.find(({ instance }) => instance.innerAddress === address);
  }

  async function currentNumber(): Promise<number | undefined> {
    const lease = await platform.get('lease', `orders/${service}`);
    return lease.isOk()
      ? (lease.value.value as { fencingNumber: number }).fencingNumber
      : undefined;
  }

  async function execute(worker: FleetWorker, request: OrderRequest): Promise<OrderReply> {
    const current = await currentNumber();
    if (current === undefined) {
      return { kind: 'not-ready', detail: 'platform' };
    }
    if (request.fencingNumber < current) {
      return { kind: 'stale', highestFencingNumber: current };
    }
    applied.push({ request, currentNumber: current });
    await applyOrder(worker, request.order);
    return worker.loads === 'fail' && request.order.kind === 'load-model'
      ? { kind: 'failed', detail: 'no such weights', effect: 'none' }
      : { kind: 'done' };
  }

  async function applyOrder(worker: FleetWorker, order: EngineOrder): Promise<void> {
    if (order.kind === 'set-role') {
      worker.role = order.role;
    }
    if (order.kind === 'load-model') {
      worker.outOfService = true;
      loads += 1;
      maxLoads = Math.max(maxLoads, loads);
      maxOutOfService = Math.max(
        maxOutOfService,
        workers.filter(({ outOfService }) => outOfService).length,
      );
      await delay(loadMs);
      if (worker.loads === 'work') {
        worker.models = [{ model: order.model, version: order.version }];
      }
      worker.outOfService = false;
      loads -= 1;
    }
  }

  function enqueue(worker: FleetWorker, request: OrderRequest): Promise<OrderReply> {
    const reply = worker.queue.then(() => execute(worker, request));
    worker.queue = reply;
    return reply;
  }

  /** One holder's connection to the fleet, which the test can cut, as for a paused or crashed holder. */
  function connect(isDisconnected: () => boolean): OrderAgentClient {
    const unreachable = () => errAsync({ kind: 'no-answer' as const, detail: 'cut off' });
    return {
      workerState: (address) => {
        const worker = find(address);
        return worker === undefined || isDisconnected() ? unreachable() : okAsync(stateOf(worker));
      },
      load: unreachable,
      order: (address, request, timeoutMs) => {
        const worker = find(address);
        if (worker === undefined || isDisconnected()) {
          return unreachable();
        }
        received.push(request);
        const late = delay(timeoutMs).then(() => Promise.reject(new Error('timeout')));
        return ResultAsync.fromPromise(Promise.race([enqueue(worker, request), late]), (error) => ({
          kind: 'no-answer' as const,
          detail: String(error),
        }));
      },
    };
  }

  return {
    workers,
    received,
    applied,
    connect,
    /** Ids that are missing from the list of instances. */
    unlisted,
    instances: () => workers.map(({ instance }) => instance).filter(({ id }) => !unlisted.has(id)),
    maxOutOfService: () => maxOutOfService,
    maxLoads: () => maxLoads,
    countAt: (version: string) =>
      workers.filter(({ models }) => models[0]?.version === version).length,
  };
}

function createWorker(service: string, index: number): FleetWorker {
  return {
    instance: {
      id: `worker-${index}`,
      kind: 'agent',
      service,
      role: 'both',
      dataCentre: 'tacoma-hall',
      innerAddress: `http://127.0.0.1:${10_000 + index}`,
      state: 'live',
    },
    role: 'both',
    models: [{ model: 'letters', version: '1' }],
    queue: Promise.resolve(),
    outOfService: false,
    loads: 'work',
  };
}

function stateOf({ role, models }: FleetWorker) {
  const fixed = { incarnation: 'a', adapters: [], highestFencingNumber: 0, leaving: false };
  return { ...fixed, role, models };
}
