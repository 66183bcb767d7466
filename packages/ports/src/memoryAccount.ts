/**
 * One account of the memory that others make a process hold: bodies of requests, what callers' connections hold beside them
 * (heads that are not complete, requests in progress, answers that are not sent), and what is kept of responses that servers
 * have not ended. Each has a limit. A body that finds no room is refused. If connections hold too much, the one that holds the
 * most is closed: it is the one whose caller sends ahead or does not read. The same holds for responses.
 */
import { createHoldings, type Holding, type Holdings } from './holdings';

export interface MemoryAccount {
  readonly limits: MemoryLimits;
  /** Takes memory for a body; false if there is not enough. Negative to give it back. */
  takeForBody(bytes: number): boolean;
  /** Memory of all bodies. */
  bodyBytes(): number;
  /** Opens the account of one connection. */
  openConnection(close: () => void): Holding;
  /** Memory of all connections. */
  connectionBytes(): number;
  /** So much is held that no connection should go on to a further request before the last one is answered. */
  isTight(): boolean;
  /** So much is held that further requests should be refused. */
  isFull(): boolean;
  /** What is kept of responses until servers have ended them, or callers have read them. */
  readonly responses: Holdings;
}

/** In bytes. */
export interface MemoryLimits {
  bodies: number;
  connections: number;
  /** Default: none. */
  responses?: number;
}

/** From this share of its limit on, what connections hold is tight. */
const tightShare = 0.5;
/** Beyond the rest of it, which refused requests need, connections are closed. */
const fullShare = 0.9;

export function createMemoryAccount(limits: MemoryLimits): MemoryAccount {
  const connections = createHoldings(limits.connections);
  let bodyBytes = 0;

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
    connectionBytes: connections.heldBytes,
    isTight: () => connections.heldBytes() > limits.connections * tightShare,
    isFull: () => connections.heldBytes() > limits.connections * fullShare,
    openConnection: connections.open,
    responses: createHoldings(limits.responses ?? Infinity),
  };
}
