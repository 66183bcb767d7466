/**
 * Ordering of waiting work: weighted fair between flows (start-time fair queueing), earliest deadline
 * first inside a flow. An idle flow earns no credit, so it cannot starve the others when it becomes
 * active again.
 */

export interface WaitingItem<Item> {
  item: Item;
  /** Identifies the flow, for example a class, or an institution and class. */
  flow: string;
  /** Relative share of the flow under contention. */
  weight: number;
  deadlineAtMs: number;
  /** Work that the item requires, in a unit common to all items; 1 by default. */
  cost?: number;
}

export interface WeightedFairOrder<Item> {
  add(waiting: WaitingItem<Item>): void;
  /** Returns the next item without removing it. */
  peek(): Item | undefined;
  /** Removes and returns the next item. */
  next(): Item | undefined;
  /** Removes a cancelled item; false if it is not waiting. */
  remove(item: Item): boolean;
  /** Number of waiting items in one flow, or in all. */
  size(flow?: string): number;
  /** All waiting items, flow by flow in deadline order. */
  items(): Item[];
}

interface Flow<Item> {
  name: string;
  /** In deadline order. */
  waiting: WaitingItem<Item>[];
  /** Virtual finish time of the flow's last served item. */
  finish: number;
}

/** With this many flows, idle ones whose finish time has passed are removed. */
const sweepThreshold = 256;

export function createWeightedFairOrder<Item>(): WeightedFairOrder<Item> {
  const flows = new Map<string, Flow<Item>>();
  let virtualTime = 0;
  let waitingCount = 0;

  function add(waiting: WaitingItem<Item>): void {
    sweepIdleFlows();
    const flow = flows.get(waiting.flow) ?? { name: waiting.flow, waiting: [], finish: 0 };
    flows.set(waiting.flow, flow);
    flow.waiting.splice(insertionIndex(flow.waiting, waiting.deadlineAtMs), 0, waiting);
    waitingCount += 1;
  }

  function startOf(flow: Flow<Item>): number {
    return Math.max(flow.finish, virtualTime);
  }

  /** The flow with the earliest virtual start time; on a tie, the one with the earliest deadline. */
  function nextFlow(): Flow<Item> | undefined {
    return [...flows.values()]
      .filter((flow) => flow.waiting.length > 0)
      .reduce<Flow<Item> | undefined>((best, flow) => {
        if (best === undefined || startOf(flow) < startOf(best)) {
          return flow;
        }
        const tied = startOf(flow) === startOf(best);
        return tied && firstDeadline(flow) < firstDeadline(best) ? flow : best;
      }, undefined);
  }

  function next(): Item | undefined {
    const flow = nextFlow();
    const waiting = flow?.waiting.shift();
    if (flow === undefined || waiting === undefined) {
      return undefined;
    }
    waitingCount -= 1;
    virtualTime = startOf(flow);
    flow.finish = virtualTime + (waiting.cost ?? 1) / waiting.weight;
    return waiting.item;
  }

  function remove(item: Item): boolean {
    return [...flows.values()].some((flow) => {
      const index = flow.waiting.findIndex((waiting) => waiting.item === item);
      if (index === -1) {
        return false;
      }
      flow.waiting.splice(index, 1);
      waitingCount -= 1;
      return true;
    });
  }

  function sweepIdleFlows(): void {
    if (flows.size < sweepThreshold) {
      return;
    }
    [...flows.values()]
      .filter((flow) => flow.waiting.length === 0 && flow.finish <= virtualTime)
      .forEach((flow) => flows.delete(flow.name));
  }

  return {
    add,
    peek: () => nextFlow()?.waiting[0]?.item,
    next,
    remove,
    size: (flow) => (flow === undefined ? waitingCount : (flows.get(flow)?.waiting.length ?? 0)),
    items: () => [...flows.values()].flatMap((flow) => flow.waiting.map(({ item }) => item)),
  };
}

function firstDeadline<Item>(flow: Flow<Item>): number {
  return flow.waiting[0]?.deadlineAtMs ?? Infinity;
}

/** Index after all items with the same or an earlier deadline; searches from the end, where most arrivals belong. */
function insertionIndex<Item>(waiting: readonly WaitingItem<Item>[], deadlineAtMs: number): number {
  return waiting.findLastIndex((other) => other.deadlineAtMs <= deadlineAtMs) + 1;
}
