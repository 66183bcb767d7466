/** The removals of backend servers that are not in force yet, each until its delay ends: see `removalDelay`. */
import type { StorePosition } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from '../model';
import { createRemovalDelay, type RemovalDelay, type RemovalDelayOptions } from './removalDelay';

export interface DelayedRemovalsOptions extends RemovalDelayOptions {
  /** Called at the end of a delay. */
  onDue: (server: BackendServer, position?: StorePosition) => void;
}

export interface DelayedRemovals extends RemovalDelay {
  /** Delays the removal of the server by `delayMs`, instead of an earlier removal of its name. */
  add(server: BackendServer, delayMs: number, position?: StorePosition): void;
  cancel(name: string): void;
  has(name: string): boolean;
  /** When the removal of this name is in force, on the monotonic clock; undefined if it is not delayed. */
  endsAtMs(name: string): number | undefined;
}

interface DelayedRemoval {
  server: BackendServer;
  position?: StorePosition;
  timer: NodeJS.Timeout;
  endsAtMs: number;
}

export function createDelayedRemovals(options: DelayedRemovalsOptions): DelayedRemovals {
  const removalDelay = createRemovalDelay({ ...options, onAnswered: shortenDelays });
  /** Keyed by name. */
  const removals = new Map<string, DelayedRemoval>();

  function cancel(name: string): void {
    clearTimeout(removals.get(name)?.timer);
    removals.delete(name);
  }

  function add(server: BackendServer, delayMs: number, position?: StorePosition): void {
    cancel(server.name);
    const timer = setTimeout(() => options.onDue(server, position), delayMs);
    timer.unref();
    const endsAtMs = monotonicNowMs() + delayMs;
    removals.set(server.name, { server, position, timer, endsAtMs });
  }

  /** A removal received in an outage is delayed by a guess; when the outage has ended, its bound is known. */
  function shortenDelays(): void {
    const leftMs = Math.max(0, removalDelay.leftMs());
    [...removals.values()]
      .filter(({ endsAtMs }) => endsAtMs > monotonicNowMs() + leftMs)
      .forEach(({ server, position }) => add(server, leftMs, position));
  }

  return {
    ...removalDelay,
    add,
    cancel,
    has: (name) => removals.has(name),
    endsAtMs: (name) => removals.get(name)?.endsAtMs,
  };
}
