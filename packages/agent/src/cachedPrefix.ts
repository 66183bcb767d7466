/** Estimates, in tokens, how much of a prompt is in the engine's prefix cache. */
import type { CacheView } from '@bluebellhitch/decisions';
import {
  blockTokens,
  estimateTokens,
  prefixBlockHashes,
  sampledPrefixDepth,
} from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface CachedPrefix {
  /** Cached tokens according to the sampled block hashes of a bid request. */
  cachedTokens(sampledBlocks: readonly string[]): number;
  /** Tokens of the prompt that the engine would have to compute. */
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
