/**
 * Which entries relay the feed to others. Every process works it out for itself from its own view of
 * the instances; two views that differ cost a few extra reads, since versions carry the truth.
 */
import type { PlatformInstance } from '@bluebellhitch/objects';
import { rendezvousOrder } from '@bluebellhitch/shared';

/** Relays of each data centre, unless settings say otherwise. */
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
