/** Closes new connections of callers unread while the process cannot serve a surge of them. */
import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import { createConnectionShedding } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

/** Returns a function that decides for each new connection whether it is served. */
export function createConnectionGuard(onClosed: () => void): () => boolean {
  const shedding = createConnectionShedding({ takeBusyShare: createBusyMeter() });
  return () => {
    const isAccepted = shedding.accept(monotonicNowMs());
    if (!isAccepted) {
      onClosed();
    }
    return isAccepted;
  };
}

/** Returns a function that returns the share of the time since its previous call in which the event loop was not idle. */
export function createBusyMeter(): () => number {
  let last: EventLoopUtilization = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    return utilization;
  };
}
