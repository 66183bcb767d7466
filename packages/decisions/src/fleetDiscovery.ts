/**
 * Whether a router that starts has discovered the rest of its fleet. Until then it knows too few of the others, and must
 * not take the share of a limit that a router of so small a fleet would have.
 */
export interface FleetDiscovery {
  /** Records that a router was discovered. */
  noteDiscovered(nowMs: number): void;
  /** Stays true once it is true, also when further routers join the fleet. */
  isComplete(nowMs: number): boolean;
  /** When discovery is complete if no further router is discovered. */
  completeAtMs(): number;
}

/** Discovery takes many seconds in a large fleet; after a pause of this length it is taken to be complete. */
const discoveryQuietMs = 2_500;
const maxDiscoveryMs = 30_000;

export function createFleetDiscovery({ startedAtMs }: { startedAtMs: number }): FleetDiscovery {
  let lastDiscoveryAtMs = startedAtMs;
  let wasComplete = false;

  const completeAtMs = () =>
    Math.min(lastDiscoveryAtMs + discoveryQuietMs, startedAtMs + maxDiscoveryMs);

  return {
    noteDiscovered(nowMs) {
      lastDiscoveryAtMs = nowMs;
    },
    isComplete(nowMs) {
      wasComplete ||= nowMs >= completeAtMs();
      return wasComplete;
    },
    completeAtMs,
  };
}
