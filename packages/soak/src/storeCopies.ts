/** Copies of the store, taken all along, from which it may come back. */
import type { StandinStore, StoreBackup } from '@bluebellhitch/platform-standins';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
} from '@bluebellhitch/shared';

export interface StoreCopies extends BackgroundLoop {
  /** The one nearest to this age. */
  atAge(ageMs: number): StoreBackup;
}

const intervalMs = 250;
const keptMs = 20_000;

export function createStoreCopies(store: StandinStore): StoreCopies {
  let copies: { atMs: number; copy: StoreBackup }[] = [];

  function take(): void {
    const nowMs = monotonicNowMs();
    copies = [
      ...copies.filter(({ atMs }) => atMs > nowMs - keptMs),
      { atMs: nowMs, copy: store.createBackup() },
    ];
  }

  take();
  return {
    ...createBackgroundLoop(async (signal) => {
      while (!signal.aborted) {
        take();
        await delay(intervalMs, signal);
      }
    }),
    atAge(ageMs) {
      const wantedMs = monotonicNowMs() - ageMs;
      const [nearest] = [...copies].sort(
        (left, right) => Math.abs(left.atMs - wantedMs) - Math.abs(right.atMs - wantedMs),
      );
      return nearest?.copy ?? store.createBackup();
    },
  };
}
