/** Estimates in tokens of how much of a prompt the engine's prefix cache holds. */
import type { CacheView } from '@bluebellhitch/decisions';
import {
  blockTokens,
  estimateTokens,
  prefixBlockHashes,
  sampledPrefixDepth,
} from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface CachedPrefix {
  /** Cached tokens behind the sampled hashes of a bid request. */
  cachedTokens(sampledBlocks: readonly string[]): number;
  /** Tokens of the prompt that the engine would compute. */
  uncachedTokens(prompt: string): number;
}

export function createCachedPrefix(cacheView: CacheView): CachedPrefix {
  const cachedBlocks = (blocks: readonly string[]) =>
    cacheView.cachedBlocks(blocks, monotonicNowMs());
  return {
    cachedTokens: (sampledBlocks) => sampledPrefixDepth(cachedBlocks(sampledBlocks)) * blockTokens,
    uncachedTokens: (prompt) =>
      estimateTokens(prompt) - cachedBlocks(prefixBlockHashes(prompt)) * blockTokens,
  };
}
