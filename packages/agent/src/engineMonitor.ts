/** Polls the engine's load report and cache events, and detects when the engine is down. */
import type { CacheView } from '@bluebellhitch/decisions';
import type { EngineApi, EngineLoad } from '@bluebellhitch/engine';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { withTimeout } from './withTimeout';

export interface EngineMonitorOptions {
  engine: Pick<EngineApi, 'load' | 'cacheEvents'>;
  cacheView: CacheView;
  onLoad: (load: EngineLoad) => void;
  /** Called when a running engine stops responding. */
  onDown?: () => void;
  /** Called on each successful poll. */
  onPoll?: () => Promise<unknown>;
  intervalMs?: number;
  callTimeoutMs?: number;
}

export interface EngineMonitor {
  /** Resolves after the first response of the engine, or when the monitor is closed. */
  start(): Promise<void>;
  /** The latest load report; undefined while the engine is down. */
  current(): EngineLoad | undefined;
  close(): void;
}

const defaults = { intervalMs: 500, callTimeoutMs: 1000 };
/** A single failed call may be a lost response and does not count as an outage. */
const failuresUntilDown = 2;
const firstPollIntervalMs = 50;

export function createEngineMonitor(options: EngineMonitorOptions): EngineMonitor {
  const { engine, cacheView, onLoad, onDown, onPoll = () => Promise.resolve() } = options;
  const { intervalMs, callTimeoutMs } = { ...defaults, ...options };
  const closing = new AbortController();
  let current: EngineLoad | undefined;
  let failureCount = 0;

  async function poll(): Promise<void> {
    const load = await withTimeout(engine.load(), callTimeoutMs);
    if (load.isErr()) {
      onFailure();
      return;
    }
    failureCount = 0;
    current = load.value;
    onLoad(load.value);
    const events = await withTimeout(engine.cacheEvents(cacheView.lastSequence()), callTimeoutMs);
    events.map((list) => cacheView.apply(list, monotonicNowMs()));
    await onPoll();
  }

  function onFailure(): void {
    failureCount += 1;
    if (failureCount >= failuresUntilDown && current !== undefined) {
      current = undefined;
      cacheView.reset();
      onDown?.();
    }
  }

  async function run(onFirstLoad: () => void): Promise<void> {
    while (!closing.signal.aborted) {
      await poll();
      if (current !== undefined) {
        onFirstLoad();
      }
      await delay(current === undefined ? firstPollIntervalMs : intervalMs, closing.signal);
    }
    onFirstLoad();
  }

  return {
    start: () =>
      new Promise((resolve) => {
        void run(resolve);
      }),
    current: () => current,
    close: () => closing.abort(),
  };
}
