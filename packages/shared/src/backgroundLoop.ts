/** A task of one process that runs until it is told to stop. */

export interface BackgroundLoop {
  /** No effect while it runs. */
  start(): void;
  /** Resolves once the task has ended. */
  stop(): Promise<void>;
}

/** `run` ends when its signal aborts. */
export function createBackgroundLoop(run: (signal: AbortSignal) => Promise<void>): BackgroundLoop {
  let running: { stopping: AbortController; ended: Promise<void> } | undefined;
  return {
    start() {
      if (running === undefined) {
        const stopping = new AbortController();
        running = { stopping, ended: run(stopping.signal) };
      }
    },
    async stop() {
      const last = running;
      running = undefined;
      last?.stopping.abort();
      await last?.ended;
    },
  };
}
