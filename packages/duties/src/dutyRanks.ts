/**
 * Ranks the entries that may compete for a duty. The rank is a hint that keeps hundreds of entries from polling one
 * lease; only the lease decides which of them holds the duty.
 */
import type { PlatformInstance } from '@bluebellhitch/objects';
import { rendezvousOrder } from '@bluebellhitch/shared';

export interface DutyRankOptions {
  duty: string;
  holderId: string;
  instances: readonly PlatformInstance[];
  /** Entries in these data centres rank first, being close to the duty's workers; absent: no preference. */
  dataCentres?: readonly string[];
}

/**
 * Zero-based position of `holderId` among the live entries; undefined if it is not one of them. If the list of entries
 * is empty, every process gets rank 0 and competes, so that the duty is not left undone.
 */
export function dutyRank(options: DutyRankOptions): number | undefined {
  const { duty, holderId, dataCentres } = options;
  const entries = options.instances.filter(
    ({ kind, state }) => kind === 'entry' && state === 'live',
  );
  if (entries.length === 0) {
    return 0;
  }
  const isPreferred = ({ dataCentre }: PlatformInstance) =>
    dataCentres?.includes(dataCentre) ?? true;
  const ordered = rendezvousOrder(duty, entries, ({ id }) => id);
  const preferredFirst = [
    ...ordered.filter(isPreferred),
    ...ordered.filter((entry) => !isPreferred(entry)),
  ];
  const rank = preferredFirst.findIndex(({ id }) => id === holderId);
  return rank === -1 ? undefined : rank;
}

/** Memoised `dutyRank`: the list can be long, so ranks are recomputed only when the live entries change. */
export function createDutyRanks(holderId: string, instances: () => readonly PlatformInstance[]) {
  const ranks = new Map<string, number | undefined>();
  let lastEntries: string | undefined;

  return function rankOf(duty: string, dataCentres?: readonly string[]): number | undefined {
    const current = instances();
    const entries = serialiseEntries(current);
    if (entries !== lastEntries) {
      ranks.clear();
      lastEntries = entries;
    }
    const cacheKey = [duty, ...(dataCentres ?? [])].join(' ');
    if (!ranks.has(cacheKey)) {
      ranks.set(cacheKey, dutyRank({ duty, holderId, instances: current, dataCentres }));
    }
    return ranks.get(cacheKey);
  };
}

function serialiseEntries(instances: readonly PlatformInstance[]): string {
  return instances
    .filter(({ kind, state }) => kind === 'entry' && state === 'live')
    .map(({ id, dataCentre }) => `${id}@${dataCentre}`)
    .sort()
    .join(' ');
}
