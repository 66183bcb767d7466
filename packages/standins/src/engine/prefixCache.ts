/**
 * Prefix cache with a bounded number of blocks and least-recently-used eviction. Its events are published
 * with a delay, and some are lost.
 */
import type { CacheEvent } from '@bluebellhitch/engine';
import { monotonicNowMs, type Random } from '@bluebellhitch/shared';

export interface PrefixCacheOptions {
  maxBlocks: number;
  eventDelayMs: number;
  eventLossRatio: number;
  random: Random;
}

export interface PrefixCache {
  /** Returns the number of leading blocks that are cached, and marks them as used. */
  matchedBlocks(blocks: readonly string[]): number;
  store(blocks: readonly string[]): void;
  clear(): void;
  /** Published events after `sinceSequence`; lost ones leave a gap in the sequence. */
  eventsSince(sinceSequence: number): CacheEvent[];
}

type UnnumberedEvent =
  { kind: 'stored'; block: string } | { kind: 'evicted'; block: string } | { kind: 'cleared' };

const maxEvents = 4096;

export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  /** In the order of use, the least recently used block first. */
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
    if (history.length > maxEvents) {
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

  function touch(block: string): void {
    if (!blocksByUse.delete(block)) {
      publish({ kind: 'stored', block });
    }
    blocksByUse.add(block);
    if (blocksByUse.size > options.maxBlocks) {
      evictOldest();
    }
  }

  return {
    matchedBlocks: (blocks) => {
      const firstMiss = blocks.findIndex((block) => !blocksByUse.has(block));
      const matched = firstMiss === -1 ? blocks.length : firstMiss;
      blocks.slice(0, matched).forEach(touch);
      return matched;
    },
    store: (blocks) => blocks.forEach(touch),
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
