/**
 * What this router may use of what all may use together: its part by the routers that it knows, and no more than a fixed
 * part, since one that is cut off knows few.
 */
import type { FleetPart } from './fleetPart';

export interface FleetSharesOptions {
  fleetPart: Pick<FleetPart, 'companions' | 'partCount'>;
  /** Of all parts, this one too. */
  routerCount: () => number;
}

export interface FleetShares {
  /** Of the connections that one server takes from all callers, those that this router may hold. */
  connections(allTogether: number): number;
  /** Of the further attempts that all may make in a window besides their share of the requests. */
  furtherAttempts(allTogether: number): number;
}

const usedShare = 0.75;
const maxAttemptShare = 1 / 16;
const maxConnectionShare = 1 / 8;
const minConnections = 2;

export function createFleetShares({ fleetPart, routerCount }: FleetSharesOptions): FleetShares {
  const ownShare = (users: number, maxShare: number) => Math.min(maxShare, usedShare / users);

  return {
    connections(allTogether) {
      // Routers of this part and of the one that this part's servers are spare for.
      const partsTogether = fleetPart.partCount() > 1 ? 2 : 1;
      const users = partsTogether * (fleetPart.companions().length + 1);
      const share = ownShare(users, maxConnectionShare);
      return Math.max(minConnections, Math.floor(allTogether * share));
    },
    furtherAttempts: (allTogether) =>
      Math.floor(allTogether * ownShare(routerCount(), maxAttemptShare)),
  };
}
