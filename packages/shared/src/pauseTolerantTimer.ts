/**
 * A timer that counts only the time during which this process runs. While a process is paused, for example by garbage
 * collection or because it gets no processor time, it reads nothing. When it continues, expired timers run before the
 * responses that have arrived meanwhile are read, so that ordinary timers would report healthy servers as unresponsive.
 */

export interface PauseTolerantTimer {
  stop(): void;
}

/**
 * Number of slices in which a timeout is counted. A slice that ends late counts only its nominal length, so that a
 * pause uses up at most one slice, and seven eighths of the timeout remain for reading responses.
 */
const sliceCount = 8;

/** Calls `onElapsed` after `timeoutMs` of running time, unless it is stopped first. */
export function startPauseTolerantTimer(
  timeoutMs: number,
  onElapsed: () => void,
): PauseTolerantTimer {
  // The runtime truncates delays to whole milliseconds, which would end eight slices up to 8 ms early.
  const sliceMs = Math.ceil(timeoutMs / sliceCount);
  let remainingSlices = sliceCount;
  let timer = setTimeout(endSlice, sliceMs);

  function endSlice(): void {
    remainingSlices -= 1;
    if (remainingSlices > 0) {
      timer = setTimeout(endSlice, sliceMs);
    } else {
      onElapsed();
    }
  }

  return { stop: () => clearTimeout(timer) };
}
