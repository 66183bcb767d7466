/**
 * Prints the cost of one routing decision (candidate selection and choice among bids) at several fleet
 * sizes: CPU time (user and system), allocated bytes, and messages.
 *
 *     node --expose-gc --max-semi-space-size=128 --import=tsx --conditions=bluebell-source \
 *       packages/decisions/scripts/decisionCost.ts
 */
import { bidRequestSchema, type Bid } from '@bluebellhitch/protocol';
import { createSeededRandom, hash64Hex } from '@bluebellhitch/shared';
import {
  chooseBid,
  createCandidateSelector,
  createLinkRates,
  createLoadHints,
  initialPhaseModel,
  prefixKey,
  type CandidateBid,
  type CandidateInstance,
} from '../src';

interface Measurement {
  workers: number;
  selectMicroseconds: number;
  chooseMicroseconds: number;
  allocatedBytes: number;
  rebuildMicroseconds: number;
  messages: number;
}

const fleetSizes = [10, 100, 720];
const dataCentres = ['a', 'b', 'c', 'd'];
const warmUpDecisions = 20_000;
const decisions = 50_000;
const rounds = 5;
/** Few enough that no minor garbage collection happens during a run. */
const allocationDecisions = 2_000;
const promptTokens = 4_000;

function createFleet(workers: number): CandidateInstance[] {
  return Array.from({ length: workers }, (_, index) => ({
    id: `worker-${index}`,
    dataCentre: dataCentres[index % dataCentres.length] ?? 'a',
    role: index % 3 === 0 ? 'prefill' : 'decode',
    state: 'live',
  }));
}

function createBid(random: () => number, role: 'prefill' | 'decode'): Bid {
  const capacityKvBytes = 8e9;
  return {
    incarnation: 'first',
    load: {
      role,
      freeKvBytes: random() * capacityKvBytes,
      capacityKvBytes,
      activeCount: Math.floor(random() * 20),
      queuedCount: Math.floor(random() * 3),
      queueWaitMs: random() * 30,
      stepMs: role === 'decode' ? 15 + random() * 10 : 0.1,
      leaving: false,
    },
    cachedPrefixTokens: Math.floor(random() * promptTokens),
    usableInMs: random() * 200,
  };
}

function createDecider(workers: number) {
  const random = createSeededRandom(workers);
  const hints = createLoadHints();
  const linkRates = createLinkRates();
  const fleet = createFleet(workers);
  fleet.forEach(({ id, role }) =>
    hints.record(id, createBid(random, role === 'prefill' ? role : 'decode').load, 0),
  );
  const selector = createCandidateSelector({ entryId: 'entry-1', dataCentre: 'a', hints, random });
  const keys = Array.from({ length: 256 }, (_, index) =>
    prefixKey('service', [hash64Hex(`prefix-${index}`)]),
  );
  const bids = Array.from({ length: 64 }, () => ({
    decode: createBid(random, 'decode'),
    prefill: createBid(random, 'prefill'),
  }));

  function select(index: number, membershipVersion = 1) {
    const query = { instances: fleet, membershipVersion, nowMs: 100 };
    const key = keys[index % keys.length];
    return {
      decode: selector.select({ ...query, need: 'decode', key }),
      prefill: selector.select({ ...query, need: 'prefill', key }),
    };
  }

  function choose(index: number, candidates: ReturnType<typeof select>) {
    const bidOf = (need: 'decode' | 'prefill') =>
      candidates[need].flatMap(({ instanceId }, place): CandidateBid[] => {
        const bid = bids[(index + place) % bids.length]?.[need];
        return bid === undefined ? [] : [{ instanceId, bid, roundTripMs: 1 }];
      });
    return chooseBid({
      decodeBids: bidOf('decode'),
      prefillBids: bidOf('prefill'),
      promptTokens,
      targets: { firstTokenMs: 620, betweenTokensMs: 28 },
      weights: { goodput: 1, wastedPrefill: 0.25 },
      model: initialPhaseModel,
      linkRates,
    });
  }

  return { select, choose };
}

function microsecondsEach(count: number, work: (index: number) => void): number {
  const before = process.cpuUsage();
  Array.from({ length: count }, (_, index) => work(index));
  const { user, system } = process.cpuUsage(before);
  return (user + system) / count;
}

function median(values: readonly number[]): number {
  const ascending = [...values].sort((left, right) => left - right);
  return ascending[Math.floor(ascending.length / 2)] ?? NaN;
}

function allocatedBytesEach(work: (index: number) => void): number {
  const samples = Array.from({ length: rounds }, () => {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    Array.from({ length: allocationDecisions }, (_, index) => work(index));
    return (process.memoryUsage().heapUsed - before) / allocationDecisions;
  });
  return median(samples);
}

function measure(workers: number): Measurement {
  const { select, choose } = createDecider(workers);
  const candidates = select(0);
  const decide = (index: number) => {
    choose(index, select(index));
  };
  microsecondsEach(warmUpDecisions, decide);
  const medianOf = (work: (index: number) => void, count = decisions) =>
    median(Array.from({ length: rounds }, () => microsecondsEach(count, work)));
  return {
    workers,
    selectMicroseconds: medianOf((index) => select(index)),
    chooseMicroseconds: medianOf((index) => choose(index, candidates)),
    allocatedBytes: allocatedBytesEach(decide),
    rebuildMicroseconds: medianOf((index) => select(index, 2 + index), 500),
    messages: candidates.decode.length + candidates.prefill.length,
  };
}

/** Size in bytes of the JSON of a bid request for a prompt with this many blocks. */
function bidRequestBytes(blockCount: number): number {
  const request = bidRequestSchema.parse({
    service: 'draft-models',
    promptTokens,
    maxOutputTokens: 512,
    prefixBlocks: Array.from({ length: blockCount }, (_, index) => hash64Hex(`${index}`)),
    className: 'standard',
  });
  return JSON.stringify(request).length;
}

const rows = fleetSizes
  .map(measure)
  .map((measurement) =>
    Object.fromEntries(
      Object.entries(measurement).map(([name, value]) => [name, Math.round(value * 100) / 100]),
    ),
  );
process.stdout.write(`${JSON.stringify({ decisions, rounds, rows }, null, 2)}\n`);
process.stdout.write(`bid request, 4,000 tokens in 62 blocks: ${bidRequestBytes(62)} bytes\n`);
