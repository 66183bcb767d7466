/**
 * Queue of requests that wait for a backend server's memory: weighted fair among flows (one for each
 * class of an institution), earliest deadline first within a flow, with a length limit for each class.
 * Times are monotonic milliseconds.
 */
import { invariant } from '@bluebellhitch/shared';
import { createWeightedFairOrder } from './weightedFairOrder';

export interface Waiter {
  id: string;
  institution: string;
  className: string;
  /** Amount of the resource that it needs, in a unit common to all waiters. */
  cost: number;
  /** Time of the first-token target; orders a flow. */
  deadlineAtMs: number;
  /** The request is dropped from the queue at this time. */
  waitUntilMs: number;
}

export interface QueueClass {
  weight: number;
  queueLimit: number;
}

export type OfferOutcome = { kind: 'queued' } | { kind: 'queue-full' };

export interface AdmissionQueueOptions {
  /** Classes of the accepted document; unknown classes get `defaultClass`. */
  classes?: ReadonlyMap<string, QueueClass>;
  defaultClass?: QueueClass;
}

export interface AdmissionQueue<Item extends Waiter> {
  offer(waiter: Item): OfferOutcome;
  /** The waiter to serve next; undefined if the queue is empty. */
  peek(): Item | undefined;
  /** Removes the waiter to serve next and charges its flow. */
  take(): Item | undefined;
  /** Removes a waiter without charging its flow: cancelled or timed out. */
  remove(id: string): Item | undefined;
  /** Removes and returns the waiters whose `waitUntilMs` has passed. */
  expire(nowMs: number): Item[];
  /** New weights apply to waiters that are offered from now on. */
  setClasses(classes: ReadonlyMap<string, QueueClass>): void;
  size(): number;
  /** Sum of the waiters' costs. */
  totalCost(): number;
  waiters(): Item[];
}

const fallbackClass: QueueClass = { weight: 1, queueLimit: 64 };

export function createAdmissionQueue<Item extends Waiter>(
  options: AdmissionQueueOptions = {},
): AdmissionQueue<Item> {
  const { defaultClass = fallbackClass } = options;
  const order = createWeightedFairOrder<Item>();
  const waiters = new Map<string, Item>();
  let classes = options.classes ?? new Map<string, QueueClass>();
  let totalCost = 0;

  function countWaiting(className: string): number {
    return [...waiters.values()].filter((waiter) => waiter.className === className).length;
  }

  function offer(waiter: Item): OfferOutcome {
    invariant(!waiters.has(waiter.id), `request is already queued: ${waiter.id}`);
    const { weight, queueLimit } = classes.get(waiter.className) ?? defaultClass;
    if (countWaiting(waiter.className) >= queueLimit) {
      return { kind: 'queue-full' };
    }
    const { institution, className, cost, deadlineAtMs } = waiter;
    const flow = `${institution}\u0000${className}`;
    order.add({ item: waiter, flow, weight, cost, deadlineAtMs });
    waiters.set(waiter.id, waiter);
    totalCost += cost;
    return { kind: 'queued' };
  }

  function forget(waiter: Item): void {
    waiters.delete(waiter.id);
    totalCost -= waiter.cost;
  }

  function take(): Item | undefined {
    const waiter = order.next();
    if (waiter !== undefined) {
      forget(waiter);
    }
    return waiter;
  }

  function remove(id: string): Item | undefined {
    const waiter = waiters.get(id);
    if (waiter !== undefined) {
      order.remove(waiter);
      forget(waiter);
    }
    return waiter;
  }

  return {
    offer,
    take,
    remove,
    peek: order.peek,
    expire: (nowMs) =>
      [...waiters.values()]
        .filter((waiter) => waiter.waitUntilMs <= nowMs)
        .flatMap((waiter) => remove(waiter.id) ?? []),
    setClasses: (next) => {
      classes = next;
    },
    size: () => waiters.size,
    totalCost: () => totalCost,
    waiters: () => [...waiters.values()],
  };
}
