/**
 * An abort controller that follows other signals until it is disposed. `AbortSignal.any` would leave an
 * entry for each request on signals that outlive the request, such as that of a heartbeat.
 */

export interface LinkedAbort {
  signal: AbortSignal;
  abort(reason: unknown): void;
  /** Stops following the linked signals; the own signal keeps its state. */
  dispose(): void;
}

export interface LinkedSignal {
  signal: AbortSignal;
  /** Abort reason that this signal causes, in place of its own. */
  reason: unknown;
}

/** Aborts with the reason of the first signal that aborts. */
export function createLinkedAbort(links: readonly LinkedSignal[]): LinkedAbort {
  const controller = new AbortController();
  const removeListeners = links.map(({ signal, reason }) => {
    const listener = () => controller.abort(reason);
    if (signal.aborted) {
      listener();
    }
    signal.addEventListener('abort', listener);
    return () => signal.removeEventListener('abort', listener);
  });
  return {
    signal: controller.signal,
    abort: (reason) => controller.abort(reason),
    dispose: () => removeListeners.forEach((remove) => remove()),
  };
}
