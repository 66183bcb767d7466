/**
 * Circuit breakers for the servers of one service: a server that keeps failing is ejected (open), then
 * probed with a single request (half-open), and restored when that succeeds (closed). At most a share of
 * the pool is ejected: when the network fails, every server looks broken, and an empty pool would make a
 * slow service unavailable.
 */
import { createBoundedMap } from './boundedMap';

export interface OutlierDetectorOptions {
  /** Consecutive failures that open a breaker. */
  consecutiveFailures?: number;
  /** Share of recent outcomes that opens a breaker, once there are `minimumOutcomes`. */
  failureShare?: number;
  minimumOutcomes?: number;
  /** Duration of the first ejection; it doubles with each consecutive one. */
  ejectionMs?: number;
  maxEjectionMs?: number;
  maxEjectedShare?: number;
  /** A probe without an outcome counts as lost after this long. */
  probeTimeoutMs?: number;
  maxServers?: number;
}

export type BreakerState =
  { kind: 'closed' } | { kind: 'open'; untilMs: number } | { kind: 'half-open'; probing: boolean };

export interface OutlierDetector {
  record(instanceId: string, outcome: 'success' | 'failure', nowMs: number): void;
  /** To be called when an attempt is sent: a half-open server gets one at a time. */
  beginAttempt(instanceId: string, nowMs: number): void;
  state(instanceId: string, nowMs: number): BreakerState;
  /** Servers that get no attempt now; passed to candidate selection as `excluded`. */
  ejected(nowMs: number): ReadonlySet<string>;
  /** Sets the number of servers in the pool. */
  setPoolSize(poolSize: number): void;
  /** Drops the state of an instance that restarted or was removed. */
  forget(instanceId: string): void;
}

interface Breaker {
  failuresInRow: number;
  /** Decayed outcome counts. */
  failures: number;
  outcomes: number;
  ejections: number;
  openUntilMs?: number;
  probeStartedAtMs?: number;
}

/** Weight of earlier outcomes is multiplied by this with each new one. */
const outcomeDecay = 0.95;

export function createOutlierDetector(options: OutlierDetectorOptions = {}): OutlierDetector {
  const {
    consecutiveFailures = 4,
    failureShare = 0.5,
    minimumOutcomes = 10,
    ejectionMs = 1_000,
    maxEjectionMs = 30_000,
    maxEjectedShare = 0.34,
    probeTimeoutMs = 5_000,
    maxServers = 4096,
  } = options;
  const breakers = createBoundedMap<string, Breaker>({
    maxEntries: maxServers,
    onEvict: (instanceId) => open.delete(instanceId),
  });
  /** Servers whose breaker is open or half-open, in order of ejection. */
  const open = new Set<string>();
  let poolSize = 0;

  const maxEjected = () => Math.floor(poolSize * maxEjectedShare);

  function record(instanceId: string, outcome: 'success' | 'failure', nowMs: number): void {
    const breaker = breakers.getOrCreate(instanceId, createBreaker);
    countOutcome(breaker, outcome);
    const current = state(instanceId, nowMs);
    if (outcome === 'success') {
      if (current.kind === 'half-open') {
        close(instanceId, breaker);
      }
      return;
    }
    if (current.kind === 'half-open' || (current.kind === 'closed' && shouldOpen(breaker))) {
      eject(instanceId, breaker, nowMs);
    }
  }

  function shouldOpen({ failuresInRow, failures, outcomes }: Breaker): boolean {
    const mostlyFailing = outcomes >= minimumOutcomes && failures / outcomes >= failureShare;
    return failuresInRow >= consecutiveFailures || mostlyFailing;
  }

  function eject(instanceId: string, breaker: Breaker, nowMs: number): void {
    if (!open.has(instanceId) && open.size >= maxEjected()) {
      return;
    }
    const durationMs = Math.min(maxEjectionMs, ejectionMs * 2 ** breaker.ejections);
    breaker.ejections += 1;
    breaker.openUntilMs = nowMs + durationMs;
    breaker.probeStartedAtMs = undefined;
    open.add(instanceId);
  }

  function close(instanceId: string, breaker: Breaker): void {
    open.delete(instanceId);
    breakers.set(instanceId, { ...createBreaker(), ejections: Math.max(0, breaker.ejections - 1) });
  }

  function state(instanceId: string, nowMs: number): BreakerState {
    const breaker = breakers.get(instanceId);
    if (breaker?.openUntilMs === undefined) {
      return { kind: 'closed' };
    }
    if (nowMs < breaker.openUntilMs) {
      return { kind: 'open', untilMs: breaker.openUntilMs };
    }
    const { probeStartedAtMs } = breaker;
    const probing = probeStartedAtMs !== undefined && nowMs < probeStartedAtMs + probeTimeoutMs;
    return { kind: 'half-open', probing };
  }

  function beginAttempt(instanceId: string, nowMs: number): void {
    const breaker = breakers.get(instanceId);
    if (breaker !== undefined && state(instanceId, nowMs).kind === 'half-open') {
      breaker.probeStartedAtMs = nowMs;
    }
  }

  function ejected(nowMs: number): ReadonlySet<string> {
    const blocked = [...open].filter((instanceId) => {
      const current = state(instanceId, nowMs);
      return current.kind === 'open' || (current.kind === 'half-open' && current.probing);
    });
    // The pool may have shrunk since they were ejected.
    return new Set(blocked.slice(0, maxEjected()));
  }

  return {
    record,
    beginAttempt,
    state,
    ejected,
    setPoolSize: (size) => {
      poolSize = size;
    },
    forget: (instanceId) => {
      open.delete(instanceId);
      breakers.delete(instanceId);
    },
  };
}

function createBreaker(): Breaker {
  return { failuresInRow: 0, failures: 0, outcomes: 0, ejections: 0 };
}

function countOutcome(breaker: Breaker, outcome: 'success' | 'failure'): void {
  const failed = outcome === 'failure' ? 1 : 0;
  breaker.failuresInRow = failed === 1 ? breaker.failuresInRow + 1 : 0;
  breaker.failures = breaker.failures * outcomeDecay + failed;
  breaker.outcomes = breaker.outcomes * outcomeDecay + 1;
}
