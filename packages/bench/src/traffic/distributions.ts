/** Random draws from the distributions that the traffic uses. */
import { createSeededRandom, hash64, type Random } from '@bluebellhitch/shared';

/** Range of integers, both ends included. */
export interface CountRange {
  min: number;
  max: number;
}

export interface Weighted {
  /** Relative to the other weights of the list. */
  weight: number;
}

const seedRange = 2n ** 31n;

/** Creates a generator seeded by a label. Labels are hashed, because small seeds produce similar first values. */
export function createLabelledRandom(label: string): Random {
  return createSeededRandom(Number(hash64(label) % seedRange));
}

/** Draws the time to the next arrival of a Poisson process, in milliseconds. */
export function drawInterarrivalMs(ratePerSecond: number, random: Random): number {
  return (-Math.log(1 - random()) / ratePerSecond) * 1000;
}

/** Draws uniformly on a logarithmic scale, so that each order of magnitude is equally likely. */
export function drawLogUniform({ min, max }: CountRange, random: Random): number {
  return Math.round(min * (max / min) ** random());
}

export function drawWeighted<Item extends Weighted>(items: readonly Item[], random: Random): Item {
  const total = items.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  const found = items.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  const last = found ?? items.at(-1);
  if (last === undefined) {
    throw new Error('cannot draw from an empty list');
  }
  return last;
}

/** Draws an index below `count`; index i has a probability proportional to 1 / (i + 1). */
export function drawZipf(count: number, random: Random): number {
  // Inverse of the continuous distribution, which is close enough for traffic.
  return Math.min(count - 1, Math.floor((count + 1) ** random()) - 1);
}
