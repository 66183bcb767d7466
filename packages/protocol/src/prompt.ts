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
