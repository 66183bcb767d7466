/**
 * Learns the pace of decode engines from the streams that this router relays, and from its peers: which engines keep
 * the pauses of a stream within its target, and which do so while they also prefill a prompt.
 */
import {
  createPaceMeter,
  createPauseFactor,
  withinPace,
  type PaceMeter,
} from '@bluebellhitch/decisions';
import type { RelayPauses } from './streamPauses';

/** Time between two events of a stream, by engine, from this router and its peers. */
export interface PaceEstimates {
  observe(serverId: string, msPerEvent: number): void;
  estimate(serverId: string): number | undefined;
  /** Median over the servers with an estimate. */
  typical(): number | undefined;
}

/** What an engine does beside a stream's own events. */
export const engineWork = { decode: 'decode', localPrefill: 'local-prefill' } as const;
export type EngineWork = (typeof engineWork)[keyof typeof engineWork];

export interface PaceQuery {
  work: EngineWork;
  /** Target between two events; 0 if there is none. */
  targetGapMs: number;
  /** Slowest pace at which the stream is expected to end in time. */
  maxPaceMs?: number;
}

export interface DecodePaces {
  beginRun(serverId: string): PaceMeter;
  /** Records a stream that has ended normally in a single run. */
  noteEnded(pauses: RelayPauses): void;
  /** How many times as long as a typical engine this one takes; 1 if it is not known. */
  slowness(serverId: string): number;
  /** Those on which streams are expected to keep the target; all if none is, or if they are about equally fast. */
  fastEnough<Item>(
    items: readonly Item[],
    serverIdOf: (item: Item) => string,
    query: PaceQuery,
  ): readonly Item[];
}

/**
 * One sample counts for at most this multiple of the known pace: a stream that its engine pauses for lack of memory must
 * not make the engine look slow.
 */
const maxSampleRatio = 2;

export function createDecodePaces(estimates: PaceEstimates): DecodePaces {
  const factor = createPauseFactor();
  // A prompt delays every stream of the engine, so it goes where the delay is about the shortest.
  const factorOf = (work: EngineWork) => (work === engineWork.decode ? factor.value() : Infinity);

  function observe(serverId: string, msPerEvent: number): void {
    const knownMs = estimates.estimate(serverId) ?? estimates.typical() ?? msPerEvent;
    estimates.observe(serverId, Math.min(msPerEvent, knownMs * maxSampleRatio));
  }

  return {
    beginRun: (serverId) =>
      createPaceMeter({ onSample: (msPerEvent) => observe(serverId, msPerEvent) }),
    noteEnded({ longest }) {
      if (longest !== undefined && !longest.context.hadLocalPrefill) {
        const paceMs = estimates.estimate(longest.context.serverId);
        factor.observe({ pauseMs: longest.durationMs, paceMs });
      }
    },
    slowness(serverId) {
      const paceMs = estimates.estimate(serverId);
      const typicalMs = estimates.typical();
      return paceMs === undefined || typicalMs === undefined ? 1 : paceMs / typicalMs;
    },
    fastEnough: (items, serverIdOf, { work, ...target }) =>
      withinPace(items, (item) => estimates.estimate(serverIdOf(item)), {
        ...target,
        pauseFactor: factorOf(work),
      }),
  };
}

/** All engines count as equally fast. */
export const noPaces: DecodePaces = {
  beginRun: () => ({ note: () => undefined }),
  noteEnded: () => undefined,
  slowness: () => 1,
  fastEnough: (items) => items,
};
