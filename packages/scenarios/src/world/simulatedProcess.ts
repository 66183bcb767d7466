/**
 * Processes of a world that share one Node.js process. Each timer belongs to the process whose code
 * set it, so that pausing a process holds its timers back and a crash drops them.
 */
import { AsyncLocalStorage } from 'node:async_hooks';
import { setMaxListeners } from 'node:events';

export type ProcessState = 'running' | 'paused' | 'crashed';

export interface SimulatedProcess {
  id: string;
  state(): ProcessState;
  /** Runs code of this process; the timers that it sets belong to it. */
  run<Value>(work: () => Value): Value;
  /** Resolves while the process runs: later where it is paused, never once it has crashed. */
  turn(): Promise<void>;
  pause(): void;
  resume(): void;
  crash(): void;
  /** Aborts when the process crashes. */
  gone: AbortSignal;
}

interface TimerOwner {
  /** Runs a timer that is due, now or when the process is resumed. */
  onDue(handle: unknown, callback: () => void): void;
  forget(handle: unknown): void;
}

const owners = new AsyncLocalStorage<TimerOwner | undefined>();

/** Runs code that belongs to no process, such as the network. */
export function outside<Value>(work: () => Value): Value {
  return owners.run(undefined, work);
}

export function createSimulatedProcess(id: string): SimulatedProcess {
  const crashed = new AbortController();
  // One for each connection that would break.
  setMaxListeners(0, crashed.signal);
  /** Timers that became due during a pause, each once however often it did. */
  const due = new Map<unknown, () => void>();
  let state: ProcessState = 'running';
  let waiters: (() => void)[] = [];

  const owner: TimerOwner = {
    onDue(handle, callback) {
      if (state === 'running') {
        owners.run(owner, callback);
      } else if (state === 'paused') {
        due.set(handle, callback);
      }
    },
    forget: (handle) => due.delete(handle),
  };

  function runDueTimers(): void {
    while (due.size > 0 && state === 'running') {
      const [[handle, callback]] = due.entries() as unknown as [[unknown, () => void]];
      due.delete(handle);
      owners.run(owner, callback);
    }
  }

  return {
    id,
    state: () => state,
    run: (work) => owners.run(owner, work),
    turn: () =>
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
    gone: crashed.signal,
  };
}

/** Gives each timer set from now on to the process that sets it. Returns the way back. */
export function ownTimers(): () => void {
  const { setTimeout, setInterval, clearTimeout, clearInterval } = globalThis;
  const owned =
    (set: typeof setTimeout | typeof setInterval) =>
    (callback: () => void, durationMs?: number) => {
      const owner = owners.getStore();
      const handle: unknown = set(
        owner === undefined ? callback : () => owner.onDue(handle, callback),
        durationMs,
      );
      return handle;
    };
  const forgetting = (clear: (handle: never) => void) => (handle: unknown) => {
    owners.getStore()?.forget(handle);
    clear(handle as never);
  };
  Object.assign(globalThis, {
    setTimeout: owned(setTimeout),
    setInterval: owned(setInterval),
    clearTimeout: forgetting(clearTimeout),
    clearInterval: forgetting(clearInterval),
  });
  return () => Object.assign(globalThis, { setTimeout, setInterval, clearTimeout, clearInterval });
}
