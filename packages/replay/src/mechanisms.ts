/**
 * Mechanisms that a replay can do without, to show what each is worth. The router has no switches for them: the replay
 * puts something plainer into their place.
 */
import type { MemoryForecast } from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';
import type { EngineLoads, StreamSizes } from '@bluebellhitch/routing';

export const mechanisms = {
  /** Memory by a forecast; without it three quarters of each expected answer count from its begin to its end. */
  memoryForecast: 'memory-forecast',
  /** Lengths learned from answers; without it callers' hints are taken as they are. */
  learnedLengths: 'learned-lengths',
  /** What other routers have in progress. */
  peerNews: 'peer-news',
  /** The engines' own reports. */
  loadReports: 'load-reports',
  /** Engines that only read prompts; without it all decode and read their own. */
  readingApart: 'reading-apart',
  /** Going on elsewhere after a break. */
  resumption: 'resumption',
} as const;
export type Mechanism = (typeof mechanisms)[keyof typeof mechanisms];

const plainShare = 0.75;

/** Takes callers' hints as they are. */
export function withHintsOnly(sizes: StreamSizes): StreamSizes {
  return {
    ...sizes,
    estimateStream(className, size, events) {
      const { maxOutputTokens, expectedOutputTokens = maxOutputTokens } = size;
      return {
        ...sizes.estimateStream(className, size, events),
        medianOutputTokens: Math.min(maxOutputTokens, expectedOutputTokens),
      };
    },
  };
}

/** Counts a constant share of each stream's expected memory, whatever it holds now. */
export function withPlainSums(loads: EngineLoads): EngineLoads {
  const own = new Map<string, Set<StreamEstimate>>();
  const told = new Map<string, Map<string, readonly StreamEstimate[]>>();

  function streamsAt(serverId: string): StreamEstimate[] {
    const peers = [...told.values()].flatMap((engines) => engines.get(serverId) ?? []);
    return [...(own.get(serverId) ?? []), ...peers];
  }

  function forecast(serverId: string, capacityTokens: number): MemoryForecast {
    let free = streamsAt(serverId).reduce((left, stream) => left - needOf(stream), capacityTokens);
    return {
      freeTokens: () => free,
      freeTokensWith: (stream) => free - needOf(stream),
      add(stream) {
        free -= needOf(stream);
      },
    };
  }

  return {
    ...loads,
    forecast,
    place(serverId, stream) {
      const placed = loads.place(serverId, stream);
      const streams = own.get(serverId) ?? new Set();
      own.set(serverId, streams.add(stream));
      return {
        ...placed,
        release() {
          streams.delete(stream);
          placed.release();
        },
      };
    },
    setPeerUse(address, engines, isFull) {
      const known = isFull ? new Map() : (told.get(address) ?? new Map());
      engines.forEach(({ serverId, streams }) => known.set(serverId, streams));
      told.set(address, known);
      loads.setPeerUse(address, engines, isFull);
    },
  };
}

function needOf({ promptTokens, medianOutputTokens }: StreamEstimate): number {
  return promptTokens + plainShare * medianOutputTokens;
}
