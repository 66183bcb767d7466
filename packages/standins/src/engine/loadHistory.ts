/** Reports the engine's load with a lag. */
import type { EngineLoad } from '@bluebellhitch/engine';
import { monotonicNowMs } from '@bluebellhitch/shared';

type CurrentLoad = Omit<EngineLoad, 'ageMs'>;

export interface LoadHistory {
  /** To be called after each change of the load. */
  record(): void;
  report(): EngineLoad;
}

const recordIntervalMs = 5;

export function createLoadHistory(lagMs: number, current: () => CurrentLoad): LoadHistory {
  let samples = [{ atMs: monotonicNowMs(), load: current() }];

  function prune(nowMs: number): void {
    const newestLaggedIndex = samples.findLastIndex(({ atMs }) => nowMs - atMs >= lagMs);
    samples = samples.slice(Math.max(newestLaggedIndex, 0));
  }

  return {
    record: () => {
      const nowMs = monotonicNowMs();
      const last = samples.at(-1);
      const load = current();
      if (last !== undefined && samples.length > 1 && nowMs - last.atMs < recordIntervalMs) {
        last.load = load;
      } else {
        samples.push({ atMs: nowMs, load });
      }
      prune(nowMs);
    },
    report: () => {
      const nowMs = monotonicNowMs();
      prune(nowMs);
      const [oldest] = samples;
      const load = oldest?.load ?? current();
      const sampleAgeMs = nowMs - (oldest?.atMs ?? nowMs);
      return { ...load, ageMs: Math.min(sampleAgeMs, lagMs) };
    },
  };
}
