/**
 * One account of the memory that callers make a process hold, at all of its ports: bodies of requests, and what connections
 * hold beside them (heads that are not complete, requests in progress, answers that are not sent). Each has a limit. A body
 * that finds no room is refused. If connections hold too much, the one that holds the most is closed: it is the one whose
 * caller sends ahead or does not read.
 */

export interface MemoryAccount {
  readonly limits: MemoryLimits;
  /** Takes memory for a body; false if there is not enough. Negative to give it back. */
  takeForBody(bytes: number): boolean;
  /** Memory of all bodies. */
  bodyBytes(): number;
  /** Opens the account of one connection. */
  openConnection(close: () => void): ConnectionAccount;
  /** Memory of all connections. */
  connectionBytes(): number;
  /** So much is held that no connection should go on to a further request before the last one is answered. */
  isTight(): boolean;
  /** So much is held that further requests should be refused. */
  isFull(): boolean;
}

export interface ConnectionAccount {
  heldBytes(): number;
  /** Adds to what the connection holds; negative to take away. It may close this connection or another one. */
  add(bytes: number): void;
  /** The connection is closed, and holds nothing more. */
  end(): void;
}

/** In bytes. */
export interface MemoryLimits {
  bodies: number;
  connections: number;
}

interface Entry {
  heldBytes: number;
  close: () => void;
}

/** From this share of its limit on, what connections hold is tight. */
const tightShare = 0.5;
/** Beyond the rest of it, which refused requests need, connections are closed. */
const fullShare = 0.9;

export function createMemoryAccount(limits: MemoryLimits): MemoryAccount {
  const entries = new Set<Entry>();
  let bodyBytes = 0;
  let connectionBytes = 0;

  function end(entry: Entry): void {
    if (entries.delete(entry)) {
      connectionBytes -= entry.heldBytes;
    }
  }

  function closeLargest(): void {
    const largest = [...entries].reduce<Entry | undefined>(
      (found, entry) => (entry.heldBytes > (found?.heldBytes ?? 0) ? entry : found),
      undefined,
    );
    if (largest !== undefined) {
      end(largest);
      largest.close();
    }
  }

  return {
    limits,
    takeForBody(bytes) {
      const hasRoom = bytes <= 0 || bodyBytes + bytes <= limits.bodies;
      if (hasRoom) {
        bodyBytes += bytes;
      }
      return hasRoom;
    },
    bodyBytes: () => bodyBytes,
    connectionBytes: () => connectionBytes,
    isTight: () => connectionBytes > limits.connections * tightShare,
    isFull: () => connectionBytes > limits.connections * fullShare,
    openConnection(close) {
      const entry: Entry = { heldBytes: 0, close };
      entries.add(entry);
      return {
        heldBytes: () => entry.heldBytes,
        add(bytes) {
          if (!entries.has(entry)) {
            return;
          }
          entry.heldBytes += bytes;
          connectionBytes += bytes;
          while (connectionBytes > limits.connections && entries.size > 0) {
            closeLargest();
          }
        },
        end: () => end(entry),
      };
    },
  };
}
