/**
 * Detects a run that makes no more progress. A server that loses power does not close its connections, so the caller
 * would wait until its timeout although the stream could continue at another server.
 */
import { createStallDetector } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface StallWatchOptions {
  /** A run without progress for this long counts as lost; if absent, lack of progress alone does not suffice. */
  stallTimeoutMs?: number;
  /** The same while its server is unresponsive; shorter than the other timeout. */
  unresponsiveStallTimeoutMs: number;
  isServerUnresponsive: () => boolean;
  /** Whether the server has restarted since, so that the run is lost. */
  isServerRestarted: () => boolean;
  onLost(): void;
}

export interface StallWatch {
  noteProgress(): void;
  stop(): void;
}

const checkIntervalMs = 100;

export function startStallWatch(options: StallWatchOptions): StallWatch {
  const { stallTimeoutMs = Infinity, unresponsiveStallTimeoutMs, onLost } = options;
  const { isServerUnresponsive, isServerRestarted } = options;
  const detector = createStallDetector({
    startedAtMs: monotonicNowMs(),
    intervalMs: unresponsiveStallTimeoutMs,
    firstProgressMs: unresponsiveStallTimeoutMs,
  });
  let progressCount = 0;

  function isStalled(): boolean {
    const verdict = detector.check(monotonicNowMs());
    return (
      verdict.kind === 'stalled' &&
      (verdict.withoutProgressMs >= stallTimeoutMs || isServerUnresponsive())
    );
  }

  const timer = setInterval(() => {
    if (isServerRestarted() || isStalled()) {
      clearInterval(timer);
      onLost();
    }
  }, checkIntervalMs);
  return {
    noteProgress() {
      progressCount += 1;
      detector.progress(progressCount, monotonicNowMs());
    },
    stop: () => clearInterval(timer),
  };
}
