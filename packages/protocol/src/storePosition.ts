/**
 * Positions in the platform's store. A revision means something only within one era: a store that comes back from an older
 * copy gives its revisions out again, and its era rises by one. So a position is the pair of both, and a later era goes
 * before any revision.
 *
 * The pair is packed into one number whose order is that of the pairs. It so goes wherever a revision alone went before,
 * in datagrams too: routers of a release that knows no eras hear it and are heard, and in the first era it is the revision.
 */
export type StorePosition = number;

const revisionsPerEra = 2 ** 40;
/** Larger ones would lose revisions to the precision of a number. */
export const maxEra = 2 ** 53 / revisionsPerEra - 1;

/** `revision` is below 2^40: 3,200 changes a second for ten years. */
export function storePosition(era: number, revision: number): StorePosition {
  return era * revisionsPerEra + revision;
}

export function eraOf(position: StorePosition): number {
  return Math.floor(position / revisionsPerEra);
}

export function revisionOf(position: StorePosition): number {
  return position % revisionsPerEra;
}
