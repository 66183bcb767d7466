/** Prefix cache of limited blocks with least-recently-used eviction, and its late, gappy events. */
import type { CacheEvent } from '@bluebellhitch/engine';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';

export interface PrefixCacheOptions {
  blockLimit: number;
  eventDelayMs: number;
  eventLossRatio: number;
  random: Random;
}

export interface PrefixCache {
  /** Number of leading blocks that are cached; uses them. */
  matchedBlocks(blocks: readonly string[]): number;
  store(blocks: readonly string[]): void;
  clear(): void;
  /** Events after `sinceSequence` that are due by now; lost ones leave a gap in the sequence. */
  eventsSince(sinceSequence: number): CacheEvent[];
}

type UnnumberedEvent =
  { kind: 'stored'; block: string } | { kind: 'evicted'; block: string } | { kind: 'cleared' };

const eventHistoryLimit = 4096;

export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  /** Insertion order is the order of use. */
  const blocksByUse = new Set<string>();
  const history: { dueAtMs: number; event: CacheEvent }[] = [];
  let lastSequence = 0;

  function publish(event: UnnumberedEvent): void {
    lastSequence += 1;
    if (options.random() < options.eventLossRatio) {
      return;
    }
    const dueAtMs = monotonicNowMs() + options.eventDelayMs;
    history.push({ dueAtMs, event: { ...event, sequence: lastSequence } });
    if (history.length > eventHistoryLimit) {
      history.shift();
    }
  }

  function evictOldest(): void {
    const oldest = blocksByUse.values().next();
    if (oldest.done !== true) {
      blocksByUse.delete(oldest.value);
      publish({ kind: 'evicted', block: oldest.value });
    }
  }

  function use(block: string): void {
    if (!blocksByUse.delete(block)) {
      publish({ kind: 'stored', block });
    }
    blocksByUse.add(block);
    if (blocksByUse.size > options.blockLimit) {
      evictOldest();
    }
  }

  return {
    matchedBlocks: (blocks) => {
      const firstMiss = blocks.findIndex((block) => !blocksByUse.has(block));
      const matched = firstMiss === -1 ? blocks.length : firstMiss;
      blocks.slice(0, matched).forEach(use);
      return matched;
    },
    store: (blocks) => blocks.forEach(use),
    clear: () => {
      blocksByUse.clear();
      publish({ kind: 'cleared' });
    },
    eventsSince: (sinceSequence) => {
      const nowMs = monotonicNowMs();
      return history
        .filter(({ dueAtMs, event }) => dueAtMs <= nowMs && event.sequence > sinceSequence)
        .map(({ event }) => event);
    },
  };
}
