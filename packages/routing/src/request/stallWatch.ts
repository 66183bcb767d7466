/**
 * Observes a run that makes no progress. A sound server may be silent for a while and go on, and a server that loses
 * power does not close its connections either: so silence is reported, and only a restart of the server ends the run.
 */
import { createStallDetector } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface StallWatchOptions {
  /** A run without progress for this long counts as stalled. */
  stallTimeoutMs: number;
  /** The same while its server is unresponsive; shorter than the other timeout. */
  unresponsiveStallTimeoutMs: number;
  isServerUnresponsive: () => boolean;
  /** Whether the server has restarted since, so that the run is lost. */
  isServerRestarted: () => boolean;
  /** Called again and again while the run is stalled, with the time since its last progress. */
  onStalled(withoutProgressMs: number): void;
  onLost(): void;
}

export interface StallWatch {
  noteProgress(): void;
  stop(): void;
}

const checkIntervalMs = 100;

export function startStallWatch(options: StallWatchOptions): StallWatch {
  const { stallTimeoutMs, unresponsiveStallTimeoutMs, onStalled, onLost } = options;
  const { isServerUnresponsive, isServerRestarted } = options;
  const detector = createStallDetector({
    startedAtMs: monotonicNowMs(),
    intervalMs: unresponsiveStallTimeoutMs,
    firstProgressMs: unresponsiveStallTimeoutMs,
  });
  let progressCount = 0;

  /** Time without progress; undefined if that is not yet a stall. */
  function stalledMs(): number | undefined {
    const verdict = detector.check(monotonicNowMs());
    const isStalled =
      verdict.kind === 'stalled' &&
      (verdict.withoutProgressMs >= stallTimeoutMs || isServerUnresponsive());
    return isStalled ? verdict.withoutProgressMs : undefined;
  }

  function check(): void {
    if (isServerRestarted()) {
      clearInterval(timer);
      onLost();
      return;
    }
    const withoutProgressMs = stalledMs();
    if (withoutProgressMs !== undefined) {
      onStalled(withoutProgressMs);
    }
  }

  const timer = setInterval(check, checkIntervalMs);
  return {
    noteProgress() {
      progressCount += 1;
      detector.progress(progressCount, monotonicNowMs());
    },
    stop: () => clearInterval(timer),
  };
}
