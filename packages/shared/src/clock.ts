/**
 * The clock of the runtime. Durations and deadlines use the monotonic clock, so that a step of the wall
 * clock cannot extend a lease. Tests replace the globals by fake timers.
 */

export function monotonicNowMs(): number {
  return performance.now();
}

export function delay(durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, durationMs);
    signal?.addEventListener('abort', finish);
  });
}
