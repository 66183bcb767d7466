/**
 * Estimates that entries and agents share: prompt length in tokens and the chained hashes of a
 * prompt's blocks. Engines report the true length with the answer.
 */
import { hash64Hex } from '@bluebellhitch/shared';

const charactersPerToken = 4;
/** Prefix caches match whole blocks of this many tokens. */
export const blockTokens = 64;
const maxBlocks = 1024;

export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/** One hash a full block; each covers all text before it, so that equal hashes mean equal prefixes. */
export function prefixBlockHashes(prompt: string): string[] {
  const blockCharacters = blockTokens * charactersPerToken;
  const blockCount = Math.min(Math.floor(prompt.length / blockCharacters), maxBlocks);
  return Array.from({ length: blockCount }).reduce<string[]>((hashes, _, index) => {
    const block = prompt.slice(index * blockCharacters, (index + 1) * blockCharacters);
    hashes.push(hash64Hex(`${hashes.at(-1) ?? ''}${block}`));
    return hashes;
  }, []);
}

/**
 * Depths, in blocks, at which bid requests carry a prefix hash: each one about a quarter deeper than
 * the one before. A hash for every block made bids of long prompts kilobytes large; these keep them to
 * a few hundred bytes, and the cached prefix is underestimated by a fifth at most.
 */
const sampledDepths = sampleDepths(maxBlocks);

/** The hashes of `prefixBlockHashes` at the sampled depths. */
export function samplePrefixBlocks(hashes: readonly string[]): string[] {
  return sampledDepths.flatMap((depth) => hashes[depth - 1] ?? []);
}

/** Blocks that the first `count` sampled hashes cover. */
export function sampledPrefixDepth(count: number): number {
  return sampledDepths[count - 1] ?? 0;
}

function sampleDepths(limit: number): number[] {
  const growth = 1.25;
  const depths = [1];
  for (let depth = 2; depth <= limit; depth = Math.max(depth + 1, Math.round(depth * growth))) {
    depths.push(depth);
  }
  return depths;
}
