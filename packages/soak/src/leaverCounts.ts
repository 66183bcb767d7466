/** How often a run put the check of leaving servers to the test: a run in which it hardly applied proves nothing. */
import type { Disruptions } from './disruptions';
import type { EntryWrite, Leavers } from './leavers';
import type { Ledger } from './ledger';

export interface LeaverCounts {
  /** Late entries of servers that had left, each at a router in contact when it was executed. */
  lateEntries: number;
  /** Entries of running servers that were written again after they had expired. */
  returnedEntries: number;
  /** Of these, the ones whose servers got requests again within the bound. */
  usedAgain: number;
}

export interface LeaverCountsOptions {
  servers: Pick<Leavers, 'lateEntries' | 'returnedEntries'>;
  ledger: Pick<Ledger, 'arrivals'>;
  disruptions: Pick<Disruptions, 'hadContact'>;
  routerNames: readonly string[];
}

const usedAgainWithinMs = 3_000;

export function countLeavers(options: LeaverCountsOptions): LeaverCounts {
  const { servers, ledger, disruptions, routerNames } = options;
  const hadSomeContact = ({ atMs }: EntryWrite) =>
    routerNames.some((name) => disruptions.hadContact(name, atMs, atMs));
  const gotRequests = ({ serverId, atMs }: EntryWrite) =>
    ledger
      .arrivals()
      .some(
        (arrival) =>
          arrival.serverId === serverId &&
          arrival.atMs > atMs &&
          arrival.atMs < atMs + usedAgainWithinMs,
      );
  const returned = servers.returnedEntries();
  return {
    lateEntries: servers.lateEntries().filter(hadSomeContact).length,
    returnedEntries: returned.length,
    usedAgain: returned.filter(gotRequests).length,
  };
}
