/** Draws from the distributions that traffic is made of. */
import { createSeededRandom, hash64, type Random } from '@bluebellhitch/shared';

/** A range of whole numbers, both ends included. */
export interface CountRange {
  min: number;
  max: number;
}

export interface Weighted {
  /** Relative to the others of its list. */
  weight: number;
}

const seedRange = 2n ** 31n;

/** Randomness that a label decides. Labels are hashed, because small seeds begin alike. */
export function createLabelledRandom(label: string): Random {
  return createSeededRandom(Number(hash64(label) % seedRange));
}

/** Time to the next arrival of a Poisson process, in milliseconds. */
export function drawInterarrivalMs(ratePerSecond: number, random: Random): number {
  return (-Math.log(1 - random()) / ratePerSecond) * 1000;
}

/** Uniform on a logarithmic scale, so that each order of magnitude is as likely. */
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
    throw new Error('there is nothing to draw from');
  }
  return last;
}

/** Index below `count`; index i comes up in proportion to 1 / (i + 1). */
export function drawZipf(count: number, random: Random): number {
  // Inverse of the distribution's continuous form, which is close enough for traffic.
  return Math.min(count - 1, Math.floor((count + 1) ** random()) - 1);
}
