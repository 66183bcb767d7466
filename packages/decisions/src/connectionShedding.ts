/**
 * Decides which new connections a router closes unread because most of a region's new connections reach it and its
 * processor cannot serve them. Their callers go on at other routers at once, where requests that wait in a router
 * without processor time would be late. Connections that callers keep are not affected. Times are milliseconds of one
 * clock.
 */

export interface ConnectionShedding {
  /** Whether to serve a new connection; to be called once for each. */
  accept(nowMs: number): boolean;
}

export interface ConnectionSheddingOptions {
  /** Share of the time since the previous call in which the process was busy. */
  takeBusyShare: () => number;
}

/** How often the share of closed connections changes. */
const sampleMs = 250;
/** A process that is never idle has work waiting. */
const overloadedShare = 0.95;
const recoveredShare = 0.8;
const shareStep = 0.2;
/** The rest is served, and shows when the router can serve more again. */
const maxClosedShare = 0.9;
/** A burst of all callers reaches all routers alike, and closed connections would only come back. */
const surgeFactor = 3;
/** What is usual is learned over this time, and not relied on before a part of it. */
const usualWindowMs = 60_000;
const minLearningMs = 8_000;
/** With fewer new connections a second, no router is overloaded by them. */
const minSurgePerSecond = 10;
const msPerSecond = 1_000;

export function createConnectionShedding(options: ConnectionSheddingOptions): ConnectionShedding {
  let startedAtMs: number | undefined;
  let sampledAtMs = 0;
  let arrivedCount = 0;
  let usualPerSecond = 0;
  let closedShare = 0;
  /** Connections that should have been closed so far, less those that were. */
  let owedCloses = 0;

  function sample(nowMs: number, elapsedMs: number): void {
    const perSecond = (arrivedCount * msPerSecond) / elapsedMs;
    const busyShare = options.takeBusyShare();
    const hasLearned = nowMs - (startedAtMs ?? nowMs) >= minLearningMs;
    const isSurge =
      hasLearned && perSecond >= Math.max(minSurgePerSecond, surgeFactor * usualPerSecond);
    if (busyShare >= overloadedShare && isSurge) {
      closedShare = Math.min(maxClosedShare, closedShare + shareStep);
    } else if (busyShare < recoveredShare || !isSurge) {
      closedShare = Math.max(0, closedShare - shareStep);
    }
    if (!isSurge) {
      const weight = Math.min(
        1,
        elapsedMs / Math.min(usualWindowMs, nowMs - (startedAtMs ?? nowMs)),
      );
      usualPerSecond += (perSecond - usualPerSecond) * weight;
    }
    sampledAtMs = nowMs;
    arrivedCount = 0;
  }

  return {
    accept(nowMs) {
      if (startedAtMs === undefined) {
        startedAtMs = nowMs;
        sampledAtMs = nowMs;
      }
      arrivedCount += 1;
      const elapsedMs = nowMs - sampledAtMs;
      if (elapsedMs >= sampleMs) {
        sample(nowMs, elapsedMs);
      }
      owedCloses += closedShare;
      if (owedCloses < 1) {
        return true;
      }
      owedCloses -= 1;
      return false;
    },
  };
}
