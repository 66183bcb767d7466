/**
 * Selects the entries that relay the feed to others. Every process computes this from its own view of the instances.
 * Differing views cost only a few extra reads, because the highest generation of a record wins wherever it comes
 * from.
 */
import type { PlatformInstance } from '@bluebellhitch/objects';
import { rendezvousOrder } from '@bluebellhitch/shared';

/** Default number of relays in each data centre. */
export const defaultRelayCount = 3;

/** The first `count` live entries of a data centre in rendezvous order. */
export function selectRelays(
  entries: readonly PlatformInstance[],
  dataCentre: string,
  count = defaultRelayCount,
): PlatformInstance[] {
  const local = entries.filter(
    (entry) => entry.kind === 'entry' && entry.state === 'live' && entry.dataCentre === dataCentre,
  );
  return rendezvousOrder(`relay/${dataCentre}`, local, ({ id }) => id).slice(0, count);
}
