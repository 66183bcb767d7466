/**
 * Positions in the platform's store. Revisions are comparable only within one era: a store that is restored from a
 * backup assigns the same revisions again, and its era increases by one. A position is therefore the pair of era and
 * revision, ordered by era first.
 *
 * The pair is packed into one number that sorts in this order, so that it can be used in place of a plain revision,
 * also in datagrams exchanged with routers of releases without eras. In the first era it equals the revision.
 */
export type StorePosition = number;

const revisionsPerEra = 2 ** 40;
/** A larger era would exceed the range of exact integers, and revisions would lose precision. */
export const maxEra = 2 ** 53 / revisionsPerEra - 1;

/** `revision` must be below 2^40, which is enough for 3,200 changes per second over ten years. */
export function storePosition(era: number, revision: number): StorePosition {
  return era * revisionsPerEra + revision;
}

export function eraOf(position: StorePosition): number {
  return Math.floor(position / revisionsPerEra);
}

export function revisionOf(position: StorePosition): number {
  return position % revisionsPerEra;
}
