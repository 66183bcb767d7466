/**
 * Stand-in of the platform: versioned objects with watches, a list of instances that lags, rate limits
 * and injected faults. This in-memory core implements `PlatformApi`, for tests without sockets.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type {
  ObjectKind,
  PlatformApi,
  PlatformError,
  PlatformInstance,
  WatchReply,
} from '@bluebellhitch/objects';
import { delay, type Random } from '@bluebellhitch/shared';
import {
  createPlatformFaults,
  platformVerbs,
  type LostResponses,
  type LostEffect,
  type PlatformCall,
  type PlatformVerb,
} from './faults';
import { createInstanceRegistry } from './instanceRegistry';
import { createObjectStore, type ObjectStoreOptions } from './objectStore';
import { createRateLimit } from './rateLimit';

export interface StandinPlatformOptions extends ObjectStoreOptions {
  /** Absent: no limit. */
  writesPerSecond?: number;
  readsPerSecond?: number;
  /** Duration of a call: half before its effect, half after it. */
  latencyMs?: number;
  /** Maximum random addition to each half of the latency, so that concurrent calls overtake one another. */
  jitterMs?: number;
  /** Age of the list of instances that readers see. */
  instanceLagMs?: number;
  random?: Random;
}

/** Counts of calls by verb and by outcome (`ok` or the error's kind). */
export interface StandinPlatformStats {
  calls: Record<PlatformVerb, number>;
  outcomes: Record<string, number>;
  waitingWatches: number;
}

/** Fault injection and instance changes within the process; `/control/*` offers the same over HTTP. */
export interface StandinPlatformControl {
  setOutage(on: boolean): void;
  setSlow(durationMs: number): void;
  loseResponses(fault: LostResponses): void;
  clearFaults(): void;
  compact(): void;
  putInstance(instance: PlatformInstance): void;
  markLeaving(id: string): void;
  removeInstance(id: string): void;
  setInstanceLag(durationMs: number): void;
  stats(): StandinPlatformStats;
  resetStats(): void;
}

export interface StandinPlatform extends PlatformApi {
  control: StandinPlatformControl;
}

const writeVerbs: readonly PlatformVerb[] = ['create', 'update', 'remove'];

export function createStandinPlatform(options: StandinPlatformOptions = {}): StandinPlatform {
  const { latencyMs = 0, jitterMs = 0, random = Math.random } = options;
  const store = createObjectStore(options);
  const faults = createPlatformFaults();
  const registry = createInstanceRegistry(options.instanceLagMs ?? 0);
  const writeLimit = createRateLimit(options.writesPerSecond ?? Infinity);
  const readLimit = createRateLimit(options.readsPerSecond ?? Infinity);
  let stats = emptyStats();

  function perform<Value>(
    call: PlatformCall,
    effect: () => Result<Value, PlatformError>,
  ): ResultAsync<Value, PlatformError> {
    stats.calls[call.verb] += 1;
    return new ResultAsync(runCall(call, effect)).map(countOk).mapErr(countError);
  }

  async function runCall<Value>(
    call: PlatformCall,
    effect: () => Result<Value, PlatformError>,
  ): Promise<Result<Value, PlatformError>> {
    const refused = findRefusal(call);
    if (refused !== undefined) {
      return err(refused);
    }
    const lost = faults.takeLostResponse(call);
    await halfLatency();
    if (lost !== undefined) {
      return loseResponse(call, lost, effect);
    }
    const outcome = effect();
    await halfLatency();
    return outcome;
  }

  function findRefusal(call: PlatformCall): PlatformError | undefined {
    if (faults.isOutage()) {
      return { kind: 'unavailable', detail: 'outage' };
    }
    const taken = (writeVerbs.includes(call.verb) ? writeLimit : readLimit).take();
    return taken.allowed ? undefined : { kind: 'rate-limited', retryAfterMs: taken.retryAfterMs };
  }

  function loseResponse<Value>(
    call: PlatformCall,
    lost: LostEffect,
    effect: () => Result<Value, PlatformError>,
  ): Result<Value, PlatformError> {
    if (lost.effect === 'applied') {
      effect();
    } else if (lost.effect === 'late') {
      setTimeout(effect, lost.lateMs ?? 0).unref?.();
    }
    const isWrite = writeVerbs.includes(call.verb);
    return err({ kind: isWrite ? 'unknown-outcome' : 'unavailable', detail: 'answer lost' });
  }

  async function halfLatency(): Promise<void> {
    const durationMs = (latencyMs + faults.slowMs()) / 2 + random() * jitterMs;
    if (durationMs > 0) {
      await delay(durationMs);
    }
  }

  function watch(
    kind: ObjectKind,
    cursor: string,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<WatchReply, PlatformError> {
    const started = perform({ verb: 'watch', kind }, () => ok(store.eventsSince(kind, cursor)));
    return started.andThen((reply) =>
      reply.compacted || reply.events.length > 0
        ? ok(reply)
        : ResultAsync.fromSafePromise(waitForEvents(kind, cursor, waitMs, signal)).map(() =>
            store.eventsSince(kind, cursor),
          ),
    );
  }

  async function waitForEvents(
    kind: ObjectKind,
    cursor: string,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort();
    const unsubscribe = store.onChange((changed) => changed === kind && wake());
    signal?.addEventListener('abort', wake);
    stats.waitingWatches += 1;
    // An event may have arrived between the first read and the subscription.
    if (!signal?.aborted && store.eventsSince(kind, cursor).events.length === 0) {
      await delay(waitMs, woken.signal);
    }
    stats.waitingWatches -= 1;
    signal?.removeEventListener('abort', wake);
    unsubscribe();
  }

  function countOk<Value>(value: Value): Value {
    stats.outcomes.ok = (stats.outcomes.ok ?? 0) + 1;
    return value;
  }

  function countError(error: PlatformError): PlatformError {
    stats.outcomes[error.kind] = (stats.outcomes[error.kind] ?? 0) + 1;
    return error;
  }

  return {
    get: (kind, key) => perform({ verb: 'get', kind, key }, () => store.get(kind, key)),
    list: (kind) => perform({ verb: 'list', kind }, () => store.list(kind)),
    create: (kind, key, value) =>
      perform({ verb: 'create', kind, key }, () => store.create(kind, key, value)),
    update: (kind, key, version, value) =>
      perform({ verb: 'update', kind, key }, () => store.update(kind, key, version, value)),
    remove: (kind, key, version) =>
      perform({ verb: 'remove', kind, key }, () => store.remove(kind, key, version)),
    watch,
    instances: () => perform({ verb: 'instances' }, () => ok(registry.list())),
    control: {
      setOutage: faults.setOutage,
      setSlow: faults.setSlow,
      loseResponses: faults.loseResponses,
      clearFaults: faults.clear,
      compact: store.compact,
      putInstance: registry.put,
      markLeaving: registry.markLeaving,
      removeInstance: registry.remove,
      setInstanceLag: registry.setLag,
      stats: () => structuredClone(stats),
      resetStats: () => {
        stats = { ...emptyStats(), waitingWatches: stats.waitingWatches };
      },
    },
  };
}

function emptyStats(): StandinPlatformStats {
  const calls = Object.fromEntries(Object.values(platformVerbs).map((verb) => [verb, 0]));
  return { calls: calls as Record<PlatformVerb, number>, outcomes: {}, waitingWatches: 0 };
}
