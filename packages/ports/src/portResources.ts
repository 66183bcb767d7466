/** What the ports of one process share: the account of what callers make it hold. */
import { createMemoryAccount, type MemoryAccount } from './memoryAccount';

export interface PortResources {
  memory: MemoryAccount;
}

/** Share of the process's memory that request bodies may hold. */
const bodyShare = 0.15;
/** The smallest machine that entries run on. */
const defaultMemoryBytes = 200 * 1_048_576;

/** `memoryBytes` is all that the process may use. */
export function createPortResources(memoryBytes = defaultMemoryBytes): PortResources {
  return { memory: createMemoryAccount({ bodies: memoryBytes * bodyShare }) };
}
