/** A background task that runs until it is stopped. */

export interface BackgroundLoop {
  /** Has no effect while the task runs. */
  start(): void;
  /** Resolves once the task has ended. */
  stop(): Promise<void>;
}

/** `run` must resolve once its signal aborts. */
export function createBackgroundLoop(run: (signal: AbortSignal) => Promise<void>): BackgroundLoop {
  let running: { controller: AbortController; ended: Promise<void> } | undefined;
  return {
    start() {
      if (running === undefined) {
        const controller = new AbortController();
        running = { controller, ended: run(controller.signal) };
      }
    },
    async stop() {
      const stopped = running;
      running = undefined;
      stopped?.controller.abort();
      await stopped?.ended;
    },
  };
}
