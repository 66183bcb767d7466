/**
 * The account of the memory that callers make a process hold, at all of its ports: bodies of requests. A body that finds no
 * room is refused.
 */

export interface MemoryAccount {
  /** Takes memory for a body; false if there is not enough. Negative to give it back. */
  takeForBody(bytes: number): boolean;
  /** Memory of all bodies. */
  bodyBytes(): number;
}

/** In bytes. */
export interface MemoryLimits {
  bodies: number;
}

export function createMemoryAccount(limits: MemoryLimits): MemoryAccount {
  let bodyBytes = 0;
  return {
    takeForBody(bytes) {
      const hasRoom = bytes <= 0 || bodyBytes + bytes <= limits.bodies;
      if (hasRoom) {
        bodyBytes += bytes;
      }
      return hasRoom;
    },
    bodyBytes: () => bodyBytes,
  };
}
