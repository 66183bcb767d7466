/** Seeded randomness, so that tests and experiments repeat. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns numbers in [0, 1). `Math.random` has this shape. */
export type Random = () => number;

const uint32Range = 2 ** 32;

export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / uint32Range;
}

/** The same items in their order, begun at any of them, so that not all who go through them begin with the first. */
export function fromAnyPlace<Item>(items: readonly Item[], random: Random): Item[] {
  const first = Math.floor(random() * items.length);
  return [...items.slice(first), ...items.slice(0, first)];
}
