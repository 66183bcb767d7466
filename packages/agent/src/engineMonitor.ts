/** Follows the engine's load report and its cache events, and notices when it is down. */
import type { CacheView } from '@bluebellhitch/decisions';
import type { EngineApi, EngineLoad } from '@bluebellhitch/engine';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { withTimeout } from './withTimeout';

export interface EngineMonitorOptions {
  engine: Pick<EngineApi, 'load' | 'cacheEvents'>;
  cacheView: CacheView;
  onLoad: (load: EngineLoad) => void;
  /** Called when a running engine stops answering. */
  onDown?: () => void;
  /** Called with each poll of a running engine. */
  onPoll?: () => Promise<unknown>;
  intervalMs?: number;
  callTimeoutMs?: number;
}

export interface EngineMonitor {
  /** Resolves after the first answer of the engine. */
  start(): Promise<void>;
  /** The latest report; undefined while the engine is down. */
  current(): EngineLoad | undefined;
  close(): void;
}

const defaults = { intervalMs: 500, callTimeoutMs: 1000 };
/** One lost answer is no outage. */
const failuresUntilDown = 2;
const firstPollIntervalMs = 50;

export function createEngineMonitor(options: EngineMonitorOptions): EngineMonitor {
  const { engine, cacheView, onLoad, onDown, onPoll = () => Promise.resolve() } = options;
  const { intervalMs, callTimeoutMs } = { ...defaults, ...options };
  const closing = new AbortController();
  let current: EngineLoad | undefined;
  let failures = 0;

  async function poll(): Promise<void> {
    const load = await withTimeout(engine.load(), callTimeoutMs);
    if (load.isErr()) {
      onFailure();
      return;
    }
    failures = 0;
    current = load.value;
    onLoad(load.value);
    const events = await withTimeout(engine.cacheEvents(cacheView.lastSequence()), callTimeoutMs);
    events.map((list) => cacheView.apply(list, monotonicNowMs()));
    await onPoll();
  }

  function onFailure(): void {
    failures += 1;
    if (failures >= failuresUntilDown && current !== undefined) {
      current = undefined;
      cacheView.reset();
      onDown?.();
    }
  }

  async function run(onFirst: () => void): Promise<void> {
    while (!closing.signal.aborted) {
      await poll();
      if (current !== undefined) {
        onFirst();
      }
      await delay(current === undefined ? firstPollIntervalMs : intervalMs, closing.signal);
    }
    onFirst();
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
