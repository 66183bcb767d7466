/**
 * Mechanisms that a replay can leave out, to measure the effect of each. The router has no switches for them: the
 * replay substitutes something simpler.
 */
import type { MemoryForecast } from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';
import type { EngineLoads, SpeedExchange, StreamSizes } from '@bluebellhitch/routing';

export const mechanisms = {
  /** Forecast of engine memory; without it each stream counts with three quarters of its expected output throughout. */
  memoryForecast: 'memory-forecast',
  /** Output lengths learned from responses; without it callers' hints are used unchanged. */
  learnedLengths: 'learned-lengths',
  /** Announcements of other routers' streams in progress. */
  peerNews: 'peer-news',
  /** Speeds of engines learned from prompts; without them all engines count as equally fast. */
  learnedSpeeds: 'learned-speeds',
  /** Pace of decode engines learned from streams; without it all engines count as equally fast. */
  learnedPaces: 'learned-paces',
  /** Announcements of the speeds that other routers have learned. */
  speedNews: 'speed-news',
  /** Load reports of the engines. */
  loadReports: 'load-reports',
  /** Separate prefill engines; without them all engines decode and prefill locally. */
  readingApart: 'reading-apart',
  /** Resumption of an interrupted stream at another engine. */
  resumption: 'resumption',
} as const;
export type Mechanism = (typeof mechanisms)[keyof typeof mechanisms];

const countedOutputShare = 0.75;

/** Replaces learned output lengths by callers' hints. */
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

/** Leaves all engines equally fast as far as is known. */
export function withoutSpeeds(speeds: SpeedExchange): SpeedExchange {
  return {
    ...speeds,
    of: () => ({ observe: () => undefined, estimate: () => undefined, typical: () => undefined }),
  };
}

/** Replaces the memory forecast by a constant share of each stream's expected output, regardless of its current use. */
export function withConstantShares(loads: EngineLoads): EngineLoads {
  const own = new Map<string, Set<StreamEstimate>>();
  const peerUses = new Map<string, Map<string, readonly StreamEstimate[]>>();

  function streamsAt(serverId: string): StreamEstimate[] {
    const peers = [...peerUses.values()].flatMap((engines) => engines.get(serverId) ?? []);
    return [...(own.get(serverId) ?? []), ...peers];
  }

  function forecast(serverId: string, capacityTokens: number): MemoryForecast {
    let freeTokens = streamsAt(serverId).reduce(
      (left, stream) => left - countedTokens(stream),
      capacityTokens,
    );
    return {
      freeTokens: () => freeTokens,
      freeTokensWith: (stream) => freeTokens - countedTokens(stream),
      add(stream) {
        freeTokens -= countedTokens(stream);
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
      const known = isFull ? new Map() : (peerUses.get(address) ?? new Map());
      engines.forEach(({ serverId, streams }) => known.set(serverId, streams));
      peerUses.set(address, known);
      loads.setPeerUse(address, engines, isFull);
    },
  };
}

function countedTokens({ promptTokens, medianOutputTokens }: StreamEstimate): number {
  return promptTokens + countedOutputShare * medianOutputTokens;
}
