/** Asks a server more than once whether it has ended, as one probe may show nothing. */
import { delay } from '@bluebellhitch/shared';
import type { ServerPresence } from '../backendApi';

/** Pauses before the probes. The listener of a process that ends may outlive its connections for a moment. */
const probeDelaysMs = [0, 100, 400];

/** Resolves with the first probe's result that is not `unknown`. */
export async function probeRepeatedly(
  probe: () => Promise<ServerPresence>,
): Promise<ServerPresence> {
  for (const pauseMs of probeDelaysMs) {
    await delay(pauseMs);
    const presence = await probe();
    if (presence !== 'unknown') {
      return presence;
    }
  }
  return 'unknown';
}
