/**
 * Memory that several holders keep of what others send. It has one limit for all of them together, and beyond it the one that holds the
 * most gives way: what is short is served on beside what has no end.
 */

export interface Holdings {
  open(giveWay: () => void): Holding;
  /** Memory of all holders. */
  heldBytes(): number;
}

export interface Holding {
  heldBytes(): number;
  /** Adds to what is held; negative to take away. This holder or another one may have to give way. */
  add(bytes: number): void;
  /** Replaces what is held. */
  set(bytes: number): void;
  /** Nothing more is held, and the holder will not have to give way. */
  end(): void;
}

/** For what is not counted. */
export const noHolding: Holding = {
  heldBytes: () => 0,
  add: () => undefined,
  set: () => undefined,
  end: () => undefined,
};

interface Entry {
  heldBytes: number;
  giveWay: () => void;
}

export function createHoldings(limitBytes: number): Holdings {
  const entries = new Set<Entry>();
  let totalBytes = 0;

  function end(entry: Entry): void {
    if (entries.delete(entry)) {
      totalBytes -= entry.heldBytes;
    }
  }

  function shrink(): void {
    while (totalBytes > limitBytes && entries.size > 0) {
      const largest = [...entries].reduce((found, entry) =>
        entry.heldBytes > found.heldBytes ? entry : found,
      );
      end(largest);
      largest.giveWay();
    }
  }

  return {
    heldBytes: () => totalBytes,
    open(giveWay) {
      const entry: Entry = { heldBytes: 0, giveWay };
      entries.add(entry);
      function add(bytes: number): void {
        if (entries.has(entry)) {
          entry.heldBytes += bytes;
          totalBytes += bytes;
          shrink();
        }
      }
      return {
        heldBytes: () => entry.heldBytes,
        add,
        set: (bytes) => add(bytes - entry.heldBytes),
        end: () => end(entry),
      };
    },
  };
}
