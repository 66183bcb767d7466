/**
 * Notices a run that shows nothing any more. A server without power does not close its connections: the
 * caller would wait until it gives up, while the stream could go on elsewhere.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface QuietWatchOptions {
  /** Quiet for this long, it counts as gone. */
  quietMs: number;
  /** The same while its server answers nobody. */
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
  let progressAtMs = monotonicNowMs();
  const timer = setInterval(() => {
    const quietMs = monotonicNowMs() - progressAtMs;
    const isGone =
      quietMs >= options.quietMs ||
      (quietMs >= options.silentServerQuietMs && options.isServerSilent());
    if (isGone) {
      clearInterval(timer);
      options.onGone();
    }
  }, lookMs);
  return {
    noteProgress() {
      progressAtMs = monotonicNowMs();
    },
    stop: () => clearInterval(timer),
  };
}
