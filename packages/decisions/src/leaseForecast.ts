/** Predicts when leases will have released enough memory and slots. */
import { leaseStates, type Lease, type LeaseCapacity } from './lease';

/** Assumed remaining time of work that has outlived its prediction. */
const overdueReleaseMs = 100;

/** Adds up releases in their expected order until they cover `missing`; undefined if all together do not. */
export function timeUntilReleased(
  leases: Lease[],
  missing: LeaseCapacity,
  nowMs: number,
): number | undefined {
  if (missing.kvBytes <= 0 && missing.slots <= 0) {
    return 0;
  }
  const releases = leases
    .map((lease) => ({
      kvBytes: lease.kvBytes,
      slots: lease.state === leaseStates.exported ? 0 : 1,
      atMs: Math.max(lease.expectedReleaseAtMs, nowMs + overdueReleaseMs),
    }))
    .sort((left, right) => left.atMs - right.atMs);
  let { kvBytes, slots } = missing;
  const last = releases.find((release) => {
    kvBytes -= release.kvBytes;
    slots -= release.slots;
    return kvBytes <= 0 && slots <= 0;
  });
  return last === undefined ? undefined : last.atMs - nowMs;
}
