/**
 * Notices a run that shows nothing any more. A server without power does not close its connections: the
 * caller would wait until it gives up, while the stream could go on elsewhere.
 */
import { createStallDetector } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface QuietWatchOptions {
  /** Quiet for this long, it counts as gone; never for that alone, where it is absent. */
  quietMs?: number;
  /** The same while its server answers nobody; the shorter of the two. */
  silentServerQuietMs: number;
  isServerSilent: () => boolean;
  /** The server has started again since: nothing of the run is left. */
  isServerRestarted: () => boolean;
  onGone(): void;
}

export interface QuietWatch {
  noteProgress(): void;
  stop(): void;
}

const lookMs = 100;

export function startQuietWatch(options: QuietWatchOptions): QuietWatch {
  const { quietMs = Infinity, silentServerQuietMs, onGone } = options;
  const { isServerSilent, isServerRestarted } = options;
  const detector = createStallDetector({
    startedAtMs: monotonicNowMs(),
    intervalMs: silentServerQuietMs,
    firstProgressMs: silentServerQuietMs,
  });
  let steps = 0;

  function isTooQuiet(): boolean {
    const verdict = detector.check(monotonicNowMs());
    return verdict.kind === 'stalled' && (verdict.withoutProgressMs >= quietMs || isServerSilent());
  }

  const timer = setInterval(() => {
    if (isServerRestarted() || isTooQuiet()) {
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
