/** What the ports of one process share: the account of what others make it hold, and the turns in which it reads. */
import { createMemoryAccount, type MemoryAccount } from './memoryAccount';
import { createReadTurns, type ReadTurns } from './readTurns';

export interface PortResources {
  memory: MemoryAccount;
  turns: ReadTurns;
  /** Connections of callers that there is memory for, whatever they send. */
  maxConnections: number;
}

/** Shares of the process's memory that request bodies, callers' connections beside them, and responses may hold. */
const bodyShare = 0.15;
const connectionShare = 0.1;
const responseShare = 0.1;
/** Share of the memory for connections that hold nothing, and what the runtime needs for one of them. */
const idleShare = 0.2;
const idleConnectionBytes = 16_384;
/** The smallest machine that entries run on. */
const defaultMemoryBytes = 200 * 1_048_576;

/** `memoryBytes` is all that the process may use. */
export function createPortResources(memoryBytes = defaultMemoryBytes): PortResources {
  const memory = createMemoryAccount({
    bodies: memoryBytes * bodyShare,
    connections: memoryBytes * connectionShare,
    responses: memoryBytes * responseShare,
  });
  const maxConnections = Math.floor((memoryBytes * idleShare) / idleConnectionBytes);
  return { memory, turns: createReadTurns(), maxConnections };
}
