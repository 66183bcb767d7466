/** What the ports of one process share: the account of what callers make it hold, and the turns in which it reads. */
import { createMemoryAccount, type MemoryAccount } from './memoryAccount';
import { createReadTurns, type ReadTurns } from './readTurns';

export interface PortResources {
  memory: MemoryAccount;
  turns: ReadTurns;
}

/** Shares of the process's memory that request bodies, and callers' connections beside them, may hold. */
const bodyShare = 0.15;
const connectionShare = 0.1;
/** The smallest machine that entries run on. */
const defaultMemoryBytes = 200 * 1_048_576;

/** `memoryBytes` is all that the process may use. */
export function createPortResources(memoryBytes = defaultMemoryBytes): PortResources {
  const memory = createMemoryAccount({
    bodies: memoryBytes * bodyShare,
    connections: memoryBytes * connectionShare,
  });
  return { memory, turns: createReadTurns() };
}
