/**
 * A timer that counts only the time in which this process runs. A process that stands still, for a pause of its
 * garbage collector or a processor that is taken away, reads nothing meanwhile: when it goes on, its timers are due
 * before the answers that have arrived are read, and healthy servers would look silent.
 */

export interface RunningTimer {
  stop(): void;
}

/**
 * A time-out is counted in this many slices; one that ends late counts as long as it should have been. A pause so
 * costs one slice at most, and seven eighths of the time are left for answers to be read.
 */
const slices = 8;

/** Calls `onElapsed` after `timeoutMs` of running time, unless it is stopped before. */
export function startRunningTimer(timeoutMs: number, onElapsed: () => void): RunningTimer {
  // The runtime cuts to whole milliseconds: eight slices would end up to eight milliseconds early.
  const sliceMs = Math.ceil(timeoutMs / slices);
  let left = slices;
  let timer = setTimeout(endSlice, sliceMs);

  function endSlice(): void {
    left -= 1;
    if (left > 0) {
      timer = setTimeout(endSlice, sliceMs);
    } else {
      onElapsed();
    }
  }

  return { stop: () => clearTimeout(timer) };
}
