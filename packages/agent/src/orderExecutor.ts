/**
 * Passes orders to the engine, one at a time. The current fencing number is read from the platform
 * before anyone is obeyed and again right before each order is sent: this process may have been paused
 * while the order lay in its socket, and the engine may not check the number itself.
 */
import { createOrderGuard, orderDeadline, type OrderVerdict } from '@bluebellhitch/decisions';
import type { EngineApi, EngineError } from '@bluebellhitch/engine';
import type { OrderReply, OrderRequest } from '@bluebellhitch/protocol';
import { delay, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { ResultAsync } from 'neverthrow';
import { withTimeout } from './withTimeout';

/** Reads the number of the current holder; 0 where there never was one. */
export type ReadFencingNumber = () => ResultAsync<number, { kind: string }>;

export interface OrderExecutorOptions {
  engine: Pick<EngineApi, 'order'>;
  service: string;
  readFencingNumber: ReadFencingNumber;
  random?: Random;
  maxWaiting?: number;
  readTimeoutMs?: number;
  learnRetryMs?: number;
}

export interface OrderExecutor {
  execute(request: OrderRequest): Promise<OrderReply>;
  highestFencingNumber(): number;
  isReady(): boolean;
  /** Resolves once the number is known or the executor is closed. */
  learn(): Promise<void>;
  close(): void;
}

const defaults = { maxWaiting: 8, readTimeoutMs: 1000, learnRetryMs: 500 };

export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
  const { engine, service, readFencingNumber, random = Math.random } = options;
  const limits = { ...defaults, ...options };
  const guard = createOrderGuard();
  const closing = new AbortController();
  let waitingCount = 0;
  let lastOrder: Promise<unknown> = Promise.resolve();

  async function refreshNumber(): Promise<boolean> {
    const current = await withTimeout(readFencingNumber(), limits.readTimeoutMs);
    current.map((fencingNumber) => guard.learn(fencingNumber));
    return current.isOk();
  }

  async function learn(): Promise<void> {
    while (!closing.signal.aborted && !(await refreshNumber())) {
      await delay(limits.learnRetryMs * (0.5 + random()), closing.signal);
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
    const refusal = refusalOf(guard.admit(order, receivedAtMs));
    if (refusal !== undefined) {
      return refusal;
    }
    if (waitingCount >= limits.maxWaiting) {
      return { kind: 'not-ready', detail: 'too many orders wait' };
    }
    return inTurn(async () => {
      if (!(await refreshNumber())) {
        return { kind: 'not-ready', detail: 'the platform does not confirm the number' };
      }
      return refusalOf(guard.recheck(order, monotonicNowMs())) ?? send(request);
    });
  }

  async function inTurn(task: () => Promise<OrderReply>): Promise<OrderReply> {
    waitingCount += 1;
    const turn = lastOrder.then(task);
    lastOrder = turn.catch(() => undefined);
    try {
      return await turn;
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
    learn,
    highestFencingNumber: guard.highestFencingNumber,
    isReady: guard.isReady,
    close: () => closing.abort(),
  };
}

function refusalOf(verdict: OrderVerdict): OrderReply | undefined {
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
