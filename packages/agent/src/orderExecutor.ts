/**
 * Passes orders to the engine, one at a time. The current fencing number is read from the platform before
 * the first order is accepted and again right before each order is sent, because this process may have been
 * paused while the order waited in its socket, and the engine may not check the number itself.
 */
import { createOrderGuard, orderDeadline, type OrderVerdict } from '@bluebellhitch/decisions';
import type { EngineApi, EngineError } from '@bluebellhitch/engine';
import type { OrderReply, OrderRequest } from '@bluebellhitch/protocol';
import { delay, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { ResultAsync } from 'neverthrow';
import { withTimeout } from './withTimeout';

/** Reads the fencing number of the current lease holder; 0 if the lease was never held. */
export type ReadFencingNumber = () => ResultAsync<number, { kind: string }>;

export interface OrderExecutorOptions {
  engine: Pick<EngineApi, 'order'>;
  service: string;
  readFencingNumber: ReadFencingNumber;
  random?: Random;
  maxWaiting?: number;
  readTimeoutMs?: number;
  readRetryMs?: number;
}

export interface OrderExecutor {
  execute(request: OrderRequest): Promise<OrderReply>;
  highestFencingNumber(): number;
  isReady(): boolean;
  /** Resolves once the fencing number is known or the executor is closed. */
  waitForFencingNumber(): Promise<void>;
  close(): void;
}

const defaults = { maxWaiting: 8, readTimeoutMs: 1000, readRetryMs: 500 };

export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
  const { engine, service, readFencingNumber, random = Math.random } = options;
  const limits = { ...defaults, ...options };
  const guard = createOrderGuard();
  const closing = new AbortController();
  let waitingCount = 0;
  let lastOrder: Promise<unknown> = Promise.resolve();

  async function refreshFencingNumber(): Promise<boolean> {
    const current = await withTimeout(readFencingNumber(), limits.readTimeoutMs);
    current.map((fencingNumber) => guard.learn(fencingNumber));
    return current.isOk();
  }

  async function waitForFencingNumber(): Promise<void> {
    while (!closing.signal.aborted && !(await refreshFencingNumber())) {
      await delay(limits.readRetryMs * (0.5 + random()), closing.signal);
    }
  }

  async function execute(request: OrderRequest): Promise<OrderReply> {
    const receivedAtMs = monotonicNowMs();
    if (request.service !== service) {
      return { kind: 'failed', detail: 'another service', effect: 'none' };
    }
    const order = {
      fencingNumber: request.fencingNumber,
      validUntilMs: orderDeadline(receivedAtMs, request.validForMs),
    };
    const refusal = toRefusal(guard.admit(order, receivedAtMs));
    if (refusal !== undefined) {
      return refusal;
    }
    if (waitingCount >= limits.maxWaiting) {
      return { kind: 'not-ready', detail: 'too many orders wait' };
    }
    return enqueue(async () => {
      if (!(await refreshFencingNumber())) {
        return { kind: 'not-ready', detail: 'the platform does not confirm the number' };
      }
      return toRefusal(guard.recheck(order, monotonicNowMs())) ?? send(request);
    });
  }

  async function enqueue(task: () => Promise<OrderReply>): Promise<OrderReply> {
    waitingCount += 1;
    const result = lastOrder.then(task);
    lastOrder = result.catch(() => undefined);
    try {
      return await result;
    } finally {
      waitingCount -= 1;
    }
  }

  async function send(request: OrderRequest): Promise<OrderReply> {
    const result = await engine.order(request.order, request.fencingNumber);
    return result.match((): OrderReply => ({ kind: 'done' }), toReply);
  }

  function toReply(error: EngineError): OrderReply {
    switch (error.kind) {
      case 'stale-order':
        guard.learn(error.highestFencingNumber);
        return { kind: 'stale', highestFencingNumber: error.highestFencingNumber };
      case 'not-started':
        return { kind: 'failed', detail: error.detail, effect: 'none' };
      default:
        return { kind: 'failed', detail: `${error.kind}: ${error.detail}`, effect: 'unknown' };
    }
  }

  return {
    execute,
    waitForFencingNumber,
    highestFencingNumber: guard.highestFencingNumber,
    isReady: guard.isReady,
    close: () => closing.abort(),
  };
}

function toRefusal(verdict: OrderVerdict): OrderReply | undefined {
  switch (verdict.kind) {
    case 'admitted':
      return undefined;
    case 'not-ready':
      return { kind: 'not-ready', detail: 'the current fencing number is not known yet' };
    case 'stale':
      return verdict;
    default:
      return { kind: 'expired' };
  }
}
