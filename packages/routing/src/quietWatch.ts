/**
 * Notices a run that shows nothing any more. A server without power does not close its connections: the
 * caller would wait until it gives up, while the stream could go on elsewhere.
 */
import { createStallDetector } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface QuietWatchOptions {
  /** Quiet for this long, it counts as gone. */
  quietMs: number;
  /** The same while its server answers nobody; the shorter of the two. */
  silentServerQuietMs: number;
  isServerSilent: () => boolean;
  onGone(): void;
}

export interface QuietWatch {
  noteProgress(): void;
  stop(): void;
}

const lookMs = 100;

export function startQuietWatch(options: QuietWatchOptions): QuietWatch {
  const { quietMs, silentServerQuietMs, isServerSilent, onGone } = options;
  const detector = createStallDetector({
    startedAtMs: monotonicNowMs(),
    intervalMs: silentServerQuietMs,
    firstProgressMs: silentServerQuietMs,
  });
  let steps = 0;
  const timer = setInterval(() => {
    const verdict = detector.check(monotonicNowMs());
    if (verdict.kind === 'stalled' && (verdict.withoutProgressMs >= quietMs || isServerSilent())) {
      clearInterval(timer);
      onGone();
    }
  }, lookMs);
  return {
    noteProgress() {
      steps += 1;
      detector.progress(steps, monotonicNowMs());
    },
    stop: () => clearInterval(timer),
  };
}
