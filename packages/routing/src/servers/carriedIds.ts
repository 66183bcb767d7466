/**
 * The ids of requests that a connection has carried. A server may repeat any response later, with the id of its request:
 * only as long as each id is carried once does it distinguish the copy from the response to a later call.
 */
import { hash32 } from '@bluebellhitch/shared';

export interface CarriedIds {
  add(id: string): void;
  /** Also true for one in some millions of other ids, as only hashes are kept. */
  has(id: string): boolean;
  /** Whether no more can be remembered: the connection must not be used again. */
  isFull(): boolean;
}

const maxIds = 1_024;
const initialCapacity = 8;

export function createCarriedIds(): CarriedIds {
  let hashes = new Uint32Array(initialCapacity);
  let count = 0;

  function grow(): void {
    const larger = new Uint32Array(hashes.length * 2);
    larger.set(hashes);
    hashes = larger;
  }

  return {
    add(id) {
      if (count === hashes.length) {
        grow();
      }
      hashes[count] = hash32(id);
      count += 1;
    },
    has: (id) => hashes.subarray(0, count).includes(hash32(id)),
    isFull: () => count >= maxIds,
  };
}
