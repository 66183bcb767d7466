/** Removes the objects with stream origins that ended routers have left in the store. */
import { objectKinds, type ObjectApi, type StoredObject } from '@bluebellhitch/objects';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface OriginSweep {
  /** Routers write objects, so there may be some to remove. */
  noteObjects(): void;
  /** Removes objects if it is due. */
  run(): Promise<void>;
}

export interface OriginSweepOptions {
  objects: Pick<ObjectApi, 'list' | 'remove'>;
  /** One router is enough; several do no harm. */
  isSweeper: () => boolean;
  /** An object that has not changed for this time holds only streams to which no caller returns. */
  minAgeMs: number;
}

interface SeenObject {
  object: StoredObject;
  sinceMs: number;
}

const intervalMs = 60_000;

export function createOriginSweep({
  objects,
  isSweeper,
  minAgeMs,
}: OriginSweepOptions): OriginSweep {
  /** By key. */
  let seen = new Map<string, SeenObject>();
  let mayHaveObjects = false;
  let sweptAtMs = -Infinity;

  function noteSeen(listed: readonly StoredObject[]): void {
    const nowMs = monotonicNowMs();
    seen = new Map(
      listed.map((object) => {
        const known = seen.get(object.key);
        const isUnchanged = known?.object.version === object.version;
        return [object.key, isUnchanged ? known : { object, sinceMs: nowMs }];
      }),
    );
  }

  async function removeOld(): Promise<void> {
    const nowMs = monotonicNowMs();
    const old = [...seen.values()].filter(({ sinceMs }) => nowMs - sinceMs >= minAgeMs);
    await Promise.all(
      old.map(({ object: { kind, key, version } }) => objects.remove(kind, key, version)),
    );
  }

  return {
    noteObjects() {
      mayHaveObjects = true;
    },
    async run() {
      if (!mayHaveObjects || !isSweeper() || monotonicNowMs() - sweptAtMs < intervalMs) {
        return;
      }
      sweptAtMs = monotonicNowMs();
      const listed = await objects.list(objectKinds.streamOrigins);
      if (listed.isOk()) {
        noteSeen(listed.value.objects);
        mayHaveObjects = seen.size > 0;
        await removeOld();
      }
    },
  };
}
