/** Non-cryptographic hashing (xxHash) and rendezvous hashing. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

export function hash64(text: string): bigint {
  return hasher.h64(text);
}

/** For sets in memory only. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** Fixed-width hexadecimal form, used as a key in messages. */
export function hash64Hex(text: string): string {
  return hash64(text).toString(16).padStart(16, '0');
}

/**
 * Orders `members` for `key` by rendezvous hashing (highest random weight): removing a member reassigns only
 * the keys that were assigned to it.
 */
export function rendezvousOrder<Member>(
  key: string,
  members: readonly Member[],
  idOf: (member: Member) => string,
): Member[] {
  return members
    .map((member) => ({ member, weight: hash64(`${key}\u0000${idOf(member)}`) }))
    .sort((left, right) => compareDescending(left.weight, right.weight))
    .map(({ member }) => member);
}

function compareDescending(left: bigint, right: bigint): number {
  if (left === right) {
    return 0;
  }
  return left > right ? -1 : 1;
}
