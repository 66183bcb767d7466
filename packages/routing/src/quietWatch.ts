/**
 * Detects a run that makes no more progress. A server that loses power does not close its connections, so the caller
 * would wait until its timeout although the stream could continue at another server.
 */
import { createStallDetector } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface QuietWatchOptions {
  /** A run without progress for this long counts as lost; if absent, lack of progress alone does not suffice. */
  quietMs?: number;
  /** The same while its server is unresponsive; shorter than the other timeout. */
  silentServerQuietMs: number;
  isServerSilent: () => boolean;
  /** Whether the server has restarted since, so that the run is lost. */
  isServerRestarted: () => boolean;
  onGone(): void;
}

export interface QuietWatch {
  noteProgress(): void;
  stop(): void;
}

const checkIntervalMs = 100;

export function startQuietWatch(options: QuietWatchOptions): QuietWatch {
  const { quietMs = Infinity, silentServerQuietMs, onGone } = options;
  const { isServerSilent, isServerRestarted } = options;
  const detector = createStallDetector({
    startedAtMs: monotonicNowMs(),
    intervalMs: silentServerQuietMs,
    firstProgressMs: silentServerQuietMs,
  });
  let progressCount = 0;

  function isStalled(): boolean {
    const verdict = detector.check(monotonicNowMs());
    return verdict.kind === 'stalled' && (verdict.withoutProgressMs >= quietMs || isServerSilent());
  }

  const timer = setInterval(() => {
    if (isServerRestarted() || isStalled()) {
      clearInterval(timer);
      onGone();
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
