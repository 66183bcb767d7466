/**
 * Which entries compete for a duty. The rank is a hint that keeps hundreds of entries from polling one
 * lease; the lease alone decides who holds the duty.
 */
import type { PlatformInstance } from '@bluebellhitch/objects';
import { rendezvousOrder } from '@bluebellhitch/shared';

export interface DutyRankOptions {
  duty: string;
  holderId: string;
  instances: readonly PlatformInstance[];
  /** Entries in these data centres come first, near what the duty looks after; absent: all equal. */
  dataCentres?: readonly string[];
}

/**
 * Position of `holderId` among the live entries, 0 the first; undefined where it is not among them.
 * An empty list is no reason to leave a duty undone: everyone competes then.
 */
export function dutyRank(options: DutyRankOptions): number | undefined {
  const { duty, holderId, dataCentres } = options;
  const entries = options.instances.filter(
    ({ kind, state }) => kind === 'entry' && state === 'live',
  );
  if (entries.length === 0) {
    return 0;
  }
  const isNear = ({ dataCentre }: PlatformInstance) => dataCentres?.includes(dataCentre) ?? true;
  const ordered = rendezvousOrder(duty, entries, ({ id }) => id);
  const nearFirst = [...ordered.filter(isNear), ...ordered.filter((entry) => !isNear(entry))];
  const rank = nearFirst.findIndex(({ id }) => id === holderId);
  return rank === -1 ? undefined : rank;
}

/** `dutyRank` that is computed anew only when the live entries change: a list of them is long. */
export function createDutyRanks(holderId: string, instances: () => readonly PlatformInstance[]) {
  const ranks = new Map<string, number | undefined>();
  let entriesSeen: string | undefined;

  return function rankOf(duty: string, dataCentres?: readonly string[]): number | undefined {
    const present = instances();
    const entries = describeEntries(present);
    if (entries !== entriesSeen) {
      ranks.clear();
      entriesSeen = entries;
    }
    const cacheKey = [duty, ...(dataCentres ?? [])].join(' ');
    if (!ranks.has(cacheKey)) {
      ranks.set(cacheKey, dutyRank({ duty, holderId, instances: present, dataCentres }));
    }
    return ranks.get(cacheKey);
  };
}

function describeEntries(instances: readonly PlatformInstance[]): string {
  return instances
    .filter(({ kind, state }) => kind === 'entry' && state === 'live')
    .map(({ id, dataCentre }) => `${id}@${dataCentre}`)
    .sort()
    .join(' ');
}
