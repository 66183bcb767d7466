/**
 * The last load hint that each instance sent with a reply. Hints are never refreshed in the
 * background, so each has an age, and an old one counts less: its freshness halves with every
 * `halfLifeMs`, and what it lacks is filled with the average of all recent hints.
 */
import type { LoadHint, WorkerRole } from '@bluebellhitch/protocol';
import { createBoundedMap } from './boundedMap';
import { createRunningEstimate } from './runningEstimate';

export interface LoadHintsOptions {
  maxInstances?: number;
  halfLifeMs?: number;
  /** A server that said it leaves is believed this long: the instance list lags behind it. */
  leavingLifetimeMs?: number;
}

export interface AgedHint {
  hint: LoadHint;
  ageMs: number;
  /** 1 for a hint of this moment, towards 0 with age. */
  freshness: number;
}

export interface InstanceOutlook {
  /** Expected pressure on the instance, see `loadPressure`; the average where nothing is known. */
  pressure: number;
  /** Whether the instance said lately that it takes no new work. */
  leaving: boolean;
}

export interface LoadHints {
  record(instanceId: string, hint: LoadHint, nowMs: number): void;
  get(instanceId: string, nowMs: number): AgedHint | undefined;
  outlook(instanceId: string, nowMs: number): InstanceOutlook;
  /** Whether a recent hint says that new work would wait longer than `waitMs`. */
  isSaturated(instanceId: string, waitMs: number, nowMs: number): boolean;
  /** The role that the instance itself reported last; the instance list lags behind it. */
  role(instanceId: string): WorkerRole | undefined;
  /** Changes whenever an instance reports another role than before. */
  roleRevision(): number;
  /** For an instance that restarted or is gone. */
  forget(instanceId: string): void;
  size(): number;
}

interface RecordedHint {
  hint: LoadHint;
  pressure: number;
  recordedAtMs: number;
}

const recentFreshness = 0.5;
/** Concurrent calls at which a server without KV cache counts as half loaded. */
const halfLoadedCalls = 16;

export function createLoadHints(options: LoadHintsOptions = {}): LoadHints {
  const { maxInstances = 4096, halfLifeMs = 500, leavingLifetimeMs = 30_000 } = options;
  const recorded = createBoundedMap<string, RecordedHint>({ maxEntries: maxInstances });
  const averagePressure = createRunningEstimate({ smoothing: 0.05, initialMean: 0.5 });
  let roleRevision = 0;

  const freshnessAt = (ageMs: number) => 0.5 ** (ageMs / halfLifeMs);

  function record(instanceId: string, hint: LoadHint, nowMs: number): void {
    const before = recorded.get(instanceId);
    if (before !== undefined && before.recordedAtMs > nowMs) {
      return;
    }
    if (before?.hint.role !== hint.role) {
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

  function outlook(instanceId: string, nowMs: number): InstanceOutlook {
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
    outlook,
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
 * One number for comparing servers of a pool: the used share of the memory (or, on a server without
 * KV cache, a growing function of its concurrent calls) plus the queue relative to the work running.
 */
export function loadPressure(hint: LoadHint): number {
  const usedShare =
    hint.capacityKvBytes > 0
      ? 1 - Math.min(hint.freeKvBytes, hint.capacityKvBytes) / hint.capacityKvBytes
      : hint.activeCount / (hint.activeCount + halfLoadedCalls);
  return usedShare + hint.queuedCount / Math.max(1, hint.activeCount);
}
