/** Seeded random numbers, so that tests and experiments are reproducible. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns numbers in [0, 1), as `Math.random` does. */
export type Random = () => number;

const uint32Range = 2 ** 32;

export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / uint32Range;
}

/** Rotates the items by a random offset, so that callers that try them in order do not all start with the first. */
export function rotateRandomly<Item>(items: readonly Item[], random: Random): Item[] {
  const first = Math.floor(random() * items.length);
  return [...items.slice(first), ...items.slice(0, first)];
}
