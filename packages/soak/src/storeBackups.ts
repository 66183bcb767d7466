/** Periodic backups of the store, from which an operation can restore it. */
import type { StandinStore, StoreBackup } from '@bluebellhitch/platform-standins';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
} from '@bluebellhitch/shared';

export interface StoreBackups extends BackgroundLoop {
  /** The backup whose age is nearest to `ageMs`. */
  atAge(ageMs: number): StoreBackup;
}

const intervalMs = 250;
const retentionMs = 20_000;

export function createStoreBackups(store: StandinStore): StoreBackups {
  let backups: { atMs: number; backup: StoreBackup }[] = [];

  function takeBackup(): void {
    const nowMs = monotonicNowMs();
    backups = [
      ...backups.filter(({ atMs }) => atMs > nowMs - retentionMs),
      { atMs: nowMs, backup: store.createBackup() },
    ];
  }

  takeBackup();
  return {
    ...createBackgroundLoop(async (signal) => {
      while (!signal.aborted) {
        takeBackup();
        await delay(intervalMs, signal);
      }
    }),
    atAge(ageMs) {
      const wantedMs = monotonicNowMs() - ageMs;
      const [nearest] = [...backups].sort(
        (left, right) => Math.abs(left.atMs - wantedMs) - Math.abs(right.atMs - wantedMs),
      );
      return nearest?.backup ?? store.createBackup();
    },
  };
}
