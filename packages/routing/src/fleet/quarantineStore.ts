/**
 * Keeps quarantined requests in the platform's store, so that a restart of all routers does not let them crash servers
 * again. The store is read once after the start; what happens later is known from the other routers.
 */
import type { QuarantineRecord } from '@bluebellhitch/decisions';
import { objectKinds, type ObjectApi, type StoredObject } from '@bluebellhitch/objects';
import { createBackgroundLoop, delay, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import type { Logger } from '@bluebellhitch/telemetry';
import { decodeQuarantineRecord, writeQuarantineRecord } from './quarantineObjects';

export interface QuarantineStore {
  /** Writes the record, merged into the stored one; tried again until the store accepts it. Times are monotonic. */
  save(record: QuarantineRecord): void;
  start(): void;
  stop(): Promise<void>;
}

export interface QuarantineStoreOptions {
  objects: Pick<ObjectApi, 'list' | 'get' | 'create' | 'update' | 'remove'>;
  /** Receives each stored record, with monotonic times. Returns false for one that no longer counts. */
  onLoaded(record: QuarantineRecord): boolean;
  logger: Logger;
  random?: Random;
}

/** Pause before a failed call of the store is repeated; up to half of it is added at random. */
const retryMs = 1_000;
const jitterShare = 0.5;
const maxUnsaved = 256;

export function createQuarantineStore(options: QuarantineStoreOptions): QuarantineStore {
  const { objects, onLoaded, logger, random = Math.random } = options;
  const unsaved = new Map<string, QuarantineRecord>();
  let wake: () => void = () => undefined;

  const pause = (signal: AbortSignal) => delay(retryMs * (1 + jitterShare * random()), signal);

  async function load(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const listed = await objects.list(objectKinds.quarantine);
      if (listed.isOk()) {
        await Promise.all(listed.value.objects.map(apply));
        return;
      }
      logger.debug('could not read quarantined requests', { error: listed.error });
      await pause(signal);
    }
  }

  async function apply({ key, version, value }: StoredObject): Promise<void> {
    const stored = decodeQuarantineRecord(value);
    const counts = stored !== undefined && onLoaded(shiftTimes(stored, -clockOffsetMs()));
    if (!counts) {
      await objects.remove(objectKinds.quarantine, key, version);
    }
  }

  async function saveNext(signal: AbortSignal): Promise<void> {
    const [next] = unsaved;
    if (next === undefined) {
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
      return;
    }
    const [key, record] = next;
    unsaved.delete(key);
    const outcome = await writeQuarantineRecord(objects, key, shiftTimes(record, clockOffsetMs()));
    if (outcome === 'done') {
      logger.info('quarantined request stored', { fingerprint: key });
      return;
    }
    if (!unsaved.has(key)) {
      unsaved.set(key, record);
    }
    await pause(signal);
  }

  const loop = createBackgroundLoop(async (signal) => {
    signal.addEventListener('abort', () => wake());
    await load(signal);
    while (!signal.aborted) {
      await saveNext(signal);
    }
  });

  return {
    save(record) {
      if (unsaved.size < maxUnsaved || unsaved.has(record.fingerprint)) {
        unsaved.set(record.fingerprint, record);
        wake();
      }
    },
    start: loop.start,
    stop: loop.stop,
  };
}

/** Wall-clock time of the monotonic clock's zero. */
function clockOffsetMs(): number {
  return Date.now() - monotonicNowMs();
}

function shiftTimes(record: QuarantineRecord, byMs: number): QuarantineRecord {
  const strikes = record.strikes.map((strike) => ({
    ...strike,
    struckAtMs: strike.struckAtMs + byMs,
    startedAtMs: strike.startedAtMs === undefined ? undefined : strike.startedAtMs + byMs,
  }));
  return { ...record, strikes };
}
