/**
 * Worker pools that an entry process derives from the instance list once per membership version, so
 * that a decision does not scan the whole fleet. A pool has a small subset of the workers, and a table
 * of the workers that are home to each prefix; both are chosen by rendezvous hashing.
 */
import type { WorkerRole } from '@bluebellhitch/protocol';
import { hash64 } from '@bluebellhitch/shared';

/** An instance as candidate selection sees it. */
export interface CandidateInstance {
  id: string;
  dataCentre: string;
  role: WorkerRole;
  state: 'live' | 'leaving';
}

/** Kind of work for which a worker is selected. */
export const workerNeeds = { prefill: 'prefill', decode: 'decode', plain: 'plain' } as const;
export type WorkerNeed = (typeof workerNeeds)[keyof typeof workerNeeds];

export interface WorkerPool {
  /** This entry process's subset, in rendezvous order. */
  subset: readonly CandidateInstance[];
  /** The first few workers in the key's rendezvous order; the first is its home. */
  homes(keyHash: number): CandidateInstance[];
}

export interface WorkerPoolOptions {
  workers: readonly CandidateInstance[];
  /** Seeds the subset, so that different entry processes prefer different workers. */
  entryId: string;
  subsetSize: number;
}

/** Keys that hash to the same slot share their homes. */
const homeSlots = 1024;
const homesPerSlot = 4;
const unfilled = -1;

export function createWorkerPool(options: WorkerPoolOptions): WorkerPool {
  const { workers, entryId, subsetSize } = options;
  const hashes = Uint32Array.from(workers, (worker) => hash32(worker.id));
  // Filled on first use: most slots of most services are never looked up.
  const homeTable = new Int32Array(homeSlots * homesPerSlot).fill(unfilled);
  const homeCount = Math.min(homesPerSlot, workers.length);

  function fillSlot(slot: number): void {
    const order = highestWeights(hashes, mix32(slot + 1), homeCount);
    homeTable.set(order, slot * homesPerSlot);
  }

  function homes(keyHash: number): CandidateInstance[] {
    const slot = keyHash % homeSlots;
    const start = slot * homesPerSlot;
    if (homeCount > 0 && homeTable[start] === unfilled) {
      fillSlot(slot);
    }
    const indexes = homeTable.subarray(start, start + homeCount);
    return workersAt(workers, indexes);
  }

  const subset = highestWeights(hashes, hash32(entryId), Math.min(subsetSize, workers.length));
  return { subset: workersAt(workers, subset), homes };
}

/** Whether a worker of this role serves the need. */
export function roleServes(role: WorkerRole, need: WorkerNeed): boolean {
  return role === need || (role === 'both' && need !== 'plain');
}

/** The lower 32 bits of the 64-bit hash. */
export function hash32(text: string): number {
  return Number(BigInt.asUintN(32, hash64(text)));
}

function workersAt(
  workers: readonly CandidateInstance[],
  indexes: Iterable<number>,
): CandidateInstance[] {
  return [...indexes].flatMap((index) => workers[index] ?? []);
}

/** Indexes of the `count` members with the highest rendezvous weights, best first. */
function highestWeights(hashes: Uint32Array, seed: number, count: number): number[] {
  const best: { index: number; weight: number }[] = [];
  hashes.forEach((hash, index) => {
    const weight = mix32(hash ^ seed);
    const lowest = best[count - 1];
    if (lowest !== undefined && weight <= lowest.weight) {
      return;
    }
    const position = best.findIndex((other) => weight > other.weight);
    best.splice(position === -1 ? best.length : position, 0, { index, weight });
    best.length = Math.min(best.length, count);
  });
  return best.map(({ index }) => index);
}

/** Integer hash finaliser with full avalanche: each input bit flips each output bit half of the time. */
function mix32(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x7feb352d);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x846ca68b);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
