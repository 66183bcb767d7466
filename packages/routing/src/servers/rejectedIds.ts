/**
 * The ids of requests that a server has rejected on a connection. A copy of such a rejection may arrive at any later time,
 * and it has the id of its request: once that request is in progress on the connection again, nothing tells the copy
 * from a rejection of the second run.
 */
export interface RejectedIds {
  add(id: string): void;
  has(id: string): boolean;
  /** Whether no more can be remembered: the connection must not be used again. */
  isFull(): boolean;
}

/** A hundred ids and more of the usual length; callers choose them, and they may be as long as a head. */
const maxCharacters = 2_048;

export function createRejectedIds(): RejectedIds {
  const ids = new Set<string>();
  let characters = 0;

  return {
    add(id) {
      characters += id.length;
      if (characters < maxCharacters) {
        ids.add(id);
      }
    },
    has: (id) => ids.has(id),
    isFull: () => characters >= maxCharacters,
  };
}
