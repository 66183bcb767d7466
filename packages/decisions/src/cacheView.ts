/**
 * Approximates the content of an engine's prefix cache from cache events, which may be late or lost.
 * A wrong estimate costs time, never correctness.
 */

export type CacheViewEvent =
  | { kind: 'stored'; sequence: number; block: string }
  | { kind: 'evicted'; sequence: number; block: string }
  | { kind: 'cleared'; sequence: number };

export interface CacheViewOptions {
  /** Maximum number of blocks kept; the least recently seen are evicted first. */
  maxBlocks?: number;
  /** How long blocks seen before a gap still count as cached: the lost events may have evicted them. */
  trustAfterGapMs?: number;
}

export interface CacheView {
  apply(events: readonly CacheViewEvent[], nowMs: number): void;
  /** Records blocks that the engine has just computed or reused, as its response says. */
  observe(blocks: readonly string[], nowMs: number): void;
  /** Number of leading blocks that are probably cached. */
  cachedBlocks(prefixBlocks: readonly string[], nowMs: number): number;
  /** Sequence number of the last event applied, for requesting later ones. */
  lastSequence(): number;
  /** Clears the view after an engine restart, which empties the cache. */
  reset(): void;
  size(): number;
}

const defaultMaxBlocks = 16_384;
const defaultTrustAfterGapMs = 10_000;

export function createCacheView(options: CacheViewOptions = {}): CacheView {
  const { maxBlocks = defaultMaxBlocks, trustAfterGapMs = defaultTrustAfterGapMs } = options;
  /** Time at which each block was last seen, least recent first. */
  const lastSeenAtMs = new Map<string, number>();
  let lastSequence = 0;
  let gapAtMs = Number.NEGATIVE_INFINITY;

  function touch(block: string, nowMs: number): void {
    lastSeenAtMs.delete(block);
    lastSeenAtMs.set(block, nowMs);
    const oldest = lastSeenAtMs.size > maxBlocks ? lastSeenAtMs.keys().next().value : undefined;
    if (oldest !== undefined) {
      lastSeenAtMs.delete(oldest);
    }
  }

  function applyEvent(event: CacheViewEvent, nowMs: number): void {
    if (event.sequence <= lastSequence) {
      return;
    }
    if (event.sequence > lastSequence + 1) {
      gapAtMs = nowMs;
    }
    lastSequence = event.sequence;
    switch (event.kind) {
      case 'stored':
        touch(event.block, nowMs);
        break;
      case 'evicted':
        lastSeenAtMs.delete(event.block);
        break;
      case 'cleared':
        lastSeenAtMs.clear();
        break;
      default:
        break;
    }
  }

  function isProbablyCached(block: string, nowMs: number): boolean {
    const seenAtMs = lastSeenAtMs.get(block);
    if (seenAtMs === undefined) {
      return false;
    }
    return seenAtMs >= gapAtMs || nowMs - gapAtMs < trustAfterGapMs;
  }

  return {
    apply: (events, nowMs) => events.forEach((event) => applyEvent(event, nowMs)),
    observe: (blocks, nowMs) => blocks.forEach((block) => touch(block, nowMs)),
    cachedBlocks: (prefixBlocks, nowMs) => {
      const firstMissing = prefixBlocks.findIndex((block) => !isProbablyCached(block, nowMs));
      return firstMissing < 0 ? prefixBlocks.length : firstMissing;
    },
    lastSequence: () => lastSequence,
    reset: () => {
      lastSeenAtMs.clear();
      lastSequence = 0;
    },
    size: () => lastSeenAtMs.size,
  };
}
