/**
 * Keeps the last load hint that each instance sent with a reply. Hints are not refreshed in the
 * background, so older ones get less weight: a hint's freshness halves every `halfLifeMs`, and the
 * remaining weight goes to the average of all recent hints.
 */
import type { LoadHint, WorkerRole } from '@bluebellhitch/protocol';
import { createBoundedMap } from './boundedMap';
import { createRunningEstimate } from './runningEstimate';

export interface LoadHintsOptions {
  maxInstances?: number;
  halfLifeMs?: number;
  /** How long a server's own report that it is leaving overrides the instance list, which lags. */
  leavingLifetimeMs?: number;
}

export interface AgedHint {
  hint: LoadHint;
  ageMs: number;
  /** Weight of the hint: 1 when just received, decaying towards 0 with age. */
  freshness: number;
}

export interface LoadEstimate {
  /** Expected pressure on the instance, see `loadPressure`; the average if there is no hint. */
  pressure: number;
  /** Whether the instance has recently reported that it takes no new work. */
  leaving: boolean;
}

export interface LoadHints {
  record(instanceId: string, hint: LoadHint, nowMs: number): void;
  get(instanceId: string, nowMs: number): AgedHint | undefined;
  estimateLoad(instanceId: string, nowMs: number): LoadEstimate;
  /** Whether a recent hint reports that new work would wait longer than `waitMs`. */
  isSaturated(instanceId: string, waitMs: number, nowMs: number): boolean;
  /** The role that the instance last reported itself, which is newer than the instance list. */
  role(instanceId: string): WorkerRole | undefined;
  /** Changes whenever an instance reports a new role. */
  roleRevision(): number;
  /** To be called for an instance that has restarted or been removed. */
  forget(instanceId: string): void;
  size(): number;
}

interface RecordedHint {
  hint: LoadHint;
  pressure: number;
  recordedAtMs: number;
}

const recentFreshness = 0.5;
/** Concurrent calls at which a server without a KV cache counts as half loaded. */
const halfLoadedCalls = 16;

export function createLoadHints(options: LoadHintsOptions = {}): LoadHints {
  const { maxInstances = 4096, halfLifeMs = 500, leavingLifetimeMs = 30_000 } = options;
  const recorded = createBoundedMap<string, RecordedHint>({ maxEntries: maxInstances });
  const averagePressure = createRunningEstimate({ smoothing: 0.05, initialMean: 0.5 });
  let roleRevision = 0;

  const freshnessAt = (ageMs: number) => 0.5 ** (ageMs / halfLifeMs);

  function record(instanceId: string, hint: LoadHint, nowMs: number): void {
    const previous = recorded.get(instanceId);
    if (previous !== undefined && previous.recordedAtMs > nowMs) {
      return;
    }
    if (previous?.hint.role !== hint.role) {
      roleRevision += 1;
    }
    const pressure = loadPressure(hint);
    recorded.set(instanceId, { hint, pressure, recordedAtMs: nowMs });
    averagePressure.observe(pressure);
  }

  function get(instanceId: string, nowMs: number): AgedHint | undefined {
    const entry = recorded.get(instanceId);
    if (entry === undefined) {
      return undefined;
    }
    const ageMs = Math.max(0, nowMs - entry.recordedAtMs);
    return { hint: entry.hint, ageMs, freshness: freshnessAt(ageMs) };
  }

  function estimateLoad(instanceId: string, nowMs: number): LoadEstimate {
    const entry = recorded.get(instanceId);
    if (entry === undefined) {
      return { pressure: averagePressure.mean(), leaving: false };
    }
    const ageMs = Math.max(0, nowMs - entry.recordedAtMs);
    const freshness = freshnessAt(ageMs);
    return {
      pressure: freshness * entry.pressure + (1 - freshness) * averagePressure.mean(),
      leaving: entry.hint.leaving && ageMs < leavingLifetimeMs,
    };
  }

  function isSaturated(instanceId: string, waitMs: number, nowMs: number): boolean {
    const aged = get(instanceId, nowMs);
    return aged !== undefined && aged.freshness > recentFreshness && aged.hint.queueWaitMs > waitMs;
  }

  return {
    record,
    get,
    estimateLoad,
    isSaturated,
    role: (instanceId) => recorded.get(instanceId)?.hint.role,
    roleRevision: () => roleRevision,
    forget: (instanceId) => {
      recorded.delete(instanceId);
    },
    size: () => recorded.size(),
  };
}

/**
 * One number for comparing the servers of a pool: the used share of memory (on a server without a KV
 * cache, a function that grows with its concurrent calls) plus the queue relative to the active work.
 */
export function loadPressure(hint: LoadHint): number {
  const usedShare =
    hint.capacityKvBytes > 0
      ? 1 - Math.min(hint.freeKvBytes, hint.capacityKvBytes) / hint.capacityKvBytes
      : hint.activeCount / (hint.activeCount + halfLoadedCalls);
  return usedShare + hint.queuedCount / Math.max(1, hint.activeCount);
}
