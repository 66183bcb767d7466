/**
 * Estimates shared by entries and agents: a prompt's length in tokens and the chained hashes of its
 * blocks. Engines report the actual length with the response.
 */
import { hash64Hex } from '@bluebellhitch/shared';

const charactersPerToken = 4;
/** Block size of prefix caches, which match whole blocks only. */
export const blockTokens = 64;
const maxBlocks = 1024;

export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/** One hash per full block. Each also covers all text before its block, so that equal hashes mean equal prefixes. */
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
 * Depths, in blocks, at which bid requests carry a prefix hash; each is about a quarter deeper than the
 * previous one. A hash for every block would make bid requests for long prompts kilobytes large; the sample
 * keeps them to a few hundred bytes and underestimates the cached prefix by at most a fifth.
 */
const sampledDepths = sampleDepths(maxBlocks);

/** The hashes of `prefixBlockHashes` at the sampled depths. */
export function samplePrefixBlocks(hashes: readonly string[]): string[] {
  return sampledDepths.flatMap((depth) => hashes[depth - 1] ?? []);
}

/** Number of blocks that the first `count` sampled hashes cover. */
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
