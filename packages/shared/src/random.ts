/** Seeded randomness, so that tests and experiments repeat. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns numbers in [0, 1). `Math.random` has this shape. */
export type Random = () => number;

const uint32Range = 2 ** 32;

export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / uint32Range;
}
