/**
 * What an engine's prefix cache most likely holds, from cache events that are late and have gaps.
 * A wrong answer costs time, never correctness.
 */

export type CacheViewEvent =
  | { kind: 'stored'; sequence: number; block: string }
  | { kind: 'evicted'; sequence: number; block: string }
  | { kind: 'cleared'; sequence: number };

export interface CacheViewOptions {
  /** Most blocks remembered; the least recently seen go first. */
  maxBlocks?: number;
  /** How long a block known before a gap is still believed, since its eviction may be what was lost. */
  doubtfulForMs?: number;
}

export interface CacheView {
  apply(events: readonly CacheViewEvent[], nowMs: number): void;
  /** Blocks that the engine has just computed or reused, known from its own answer. */
  observe(blocks: readonly string[], nowMs: number): void;
  /** Number of leading blocks that are probably cached. */
  cachedBlocks(prefixBlocks: readonly string[], nowMs: number): number;
  /** Sequence number to ask for events since. */
  lastSequence(): number;
  /** The engine restarted: its cache is empty. */
  reset(): void;
  size(): number;
}

const defaultMaxBlocks = 16_384;
const defaultDoubtfulForMs = 10_000;

export function createCacheView(options: CacheViewOptions = {}): CacheView {
  const { maxBlocks = defaultMaxBlocks, doubtfulForMs = defaultDoubtfulForMs } = options;
  /** Time each block was last seen, least recent first. */
  const seenAtMs = new Map<string, number>();
  let lastSequence = 0;
  let gapAtMs = Number.NEGATIVE_INFINITY;

  function remember(block: string, nowMs: number): void {
    seenAtMs.delete(block);
    seenAtMs.set(block, nowMs);
    const oldest = seenAtMs.size > maxBlocks ? seenAtMs.keys().next().value : undefined;
    if (oldest !== undefined) {
      seenAtMs.delete(oldest);
    }
  }

  function applyOne(event: CacheViewEvent, nowMs: number): void {
    if (event.sequence <= lastSequence) {
      return;
    }
    if (event.sequence > lastSequence + 1) {
      gapAtMs = nowMs;
    }
    lastSequence = event.sequence;
    switch (event.kind) {
      case 'stored':
        remember(event.block, nowMs);
        break;
      case 'evicted':
        seenAtMs.delete(event.block);
        break;
      case 'cleared':
        seenAtMs.clear();
        break;
      default:
        break;
    }
  }

  function isBelieved(block: string, nowMs: number): boolean {
    const seenAt = seenAtMs.get(block);
    if (seenAt === undefined) {
      return false;
    }
    return seenAt >= gapAtMs || nowMs - gapAtMs < doubtfulForMs;
  }

  return {
    apply: (events, nowMs) => events.forEach((event) => applyOne(event, nowMs)),
    observe: (blocks, nowMs) => blocks.forEach((block) => remember(block, nowMs)),
    cachedBlocks: (prefixBlocks, nowMs) => {
      const firstMissing = prefixBlocks.findIndex((block) => !isBelieved(block, nowMs));
      return firstMissing < 0 ? prefixBlocks.length : firstMissing;
    },
    lastSequence: () => lastSequence,
    reset: () => {
      seenAtMs.clear();
      lastSequence = 0;
    },
    size: () => seenAtMs.size,
  };
}
