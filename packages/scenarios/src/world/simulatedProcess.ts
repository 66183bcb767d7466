/**
 * Simulated processes within one Node.js process. Each timer belongs to the simulated process whose code
 * set it, so that a pause delays the process's timers and a crash drops them.
 */
import { AsyncLocalStorage } from 'node:async_hooks';
import { setMaxListeners } from 'node:events';

export type ProcessState = 'running' | 'paused' | 'crashed';

export interface SimulatedProcess {
  id: string;
  state(): ProcessState;
  /** Runs code as this process; the timers that the code sets belong to the process. */
  run<Value>(work: () => Value): Value;
  /** Resolves when the process is running: at once, after a pause, or never after a crash. */
  whenRunning(): Promise<void>;
  pause(): void;
  resume(): void;
  crash(): void;
  /** Aborts when the process crashes. */
  crashSignal: AbortSignal;
}

interface TimerOwner {
  /** Runs the callback of a timer that is due, now or when the process is resumed. */
  onDue(handle: unknown, callback: () => void): void;
  discard(handle: unknown): void;
}

const currentOwner = new AsyncLocalStorage<TimerOwner | undefined>();

/** Runs code that belongs to no process, such as the network. */
export function runOutsideProcesses<Value>(work: () => Value): Value {
  return currentOwner.run(undefined, work);
}

export function createSimulatedProcess(id: string): SimulatedProcess {
  const crashed = new AbortController();
  // Each connection that would break on a crash adds a listener.
  setMaxListeners(0, crashed.signal);
  /** Timers that became due during a pause; an interval is kept once, however often it was due. */
  const due = new Map<unknown, () => void>();
  let state: ProcessState = 'running';
  let waiters: (() => void)[] = [];

  const owner: TimerOwner = {
    onDue(handle, callback) {
      if (state === 'running') {
        currentOwner.run(owner, callback);
      } else if (state === 'paused') {
        due.set(handle, callback);
      }
    },
    discard: (handle) => due.delete(handle),
  };

  function runDueTimers(): void {
    while (due.size > 0 && state === 'running') {
      const [[handle, callback]] = due.entries() as unknown as [[unknown, () => void]];
      due.delete(handle);
      currentOwner.run(owner, callback);
    }
  }

  return {
    id,
    state: () => state,
    run: (work) => currentOwner.run(owner, work),
    whenRunning: () =>
      state === 'running'
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiters.push(resolve);
          }),
    pause: () => {
      state = state === 'running' ? 'paused' : state;
    },
    resume: () => {
      if (state !== 'paused') {
        return;
      }
      state = 'running';
      runDueTimers();
      const woken = waiters;
      waiters = [];
      woken.forEach((wake) => wake());
    },
    crash: () => {
      state = 'crashed';
      due.clear();
      waiters = [];
      crashed.abort();
    },
    crashSignal: crashed.signal,
  };
}

/** Assigns each timer set from now on to the process that sets it. Returns a function that undoes this. */
export function interceptTimers(): () => void {
  const { setTimeout, setInterval, clearTimeout, clearInterval } = globalThis;
  const withOwner =
    (set: typeof setTimeout | typeof setInterval) =>
    (callback: () => void, durationMs?: number) => {
      const owner = currentOwner.getStore();
      const handle: unknown = set(
        owner === undefined ? callback : () => owner.onDue(handle, callback),
        durationMs,
      );
      return handle;
    };
  const withDiscard = (clear: (handle: never) => void) => (handle: unknown) => {
    currentOwner.getStore()?.discard(handle);
    clear(handle as never);
  };
  Object.assign(globalThis, {
    setTimeout: withOwner(setTimeout),
    setInterval: withOwner(setInterval),
    clearTimeout: withDiscard(clearTimeout),
    clearInterval: withDiscard(clearInterval),
  });
  return () => Object.assign(globalThis, { setTimeout, setInterval, clearTimeout, clearInterval });
}
