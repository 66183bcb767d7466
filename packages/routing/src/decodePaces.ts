/** Learns the pace of decode engines from the streams that this router relays, and from its peers. */
import { createPaceMeter, createPauseFactor, type PaceMeter } from '@bluebellhitch/decisions';
import type { RelayPauses } from './streamRelay';

/** Time between two events of a stream, by engine, from this router and its peers. */
export interface PaceEstimates {
  observe(serverId: string, msPerEvent: number): void;
  estimate(serverId: string): number | undefined;
}

export const paceExpectations = { within: 'within', beyond: 'beyond', unknown: 'unknown' } as const;
export type PaceExpectation = (typeof paceExpectations)[keyof typeof paceExpectations];

export interface DecodePaces {
  beginRun(serverId: string): PaceMeter;
  noteEnded(pauses: RelayPauses): void;
  /** Usual time between two events; undefined if the engine has not been used lately. */
  paceMs(serverId: string): number | undefined;
  /** Whether a stream on this engine is expected to keep its pauses within the target. */
  expectation(serverId: string, targetGapMs: number): PaceExpectation;
  /** How much longer the longest pause of a stream is; undefined until enough streams have ended. */
  pauseFactor(): number | undefined;
}

export function createDecodePaces(estimates: PaceEstimates): DecodePaces {
  const factor = createPauseFactor();
  return {
    beginRun: (serverId) =>
      createPaceMeter({ onSample: (msPerEvent) => estimates.observe(serverId, msPerEvent) }),
    noteEnded({ longest, medianMs }) {
      if (longest !== undefined && medianMs !== undefined) {
        factor.observe({ longestPauseMs: longest.durationMs, usualPauseMs: medianMs });
      }
    },
    paceMs: estimates.estimate,
    expectation(serverId, targetGapMs) {
      const paceMs = estimates.estimate(serverId);
      const pauseFactor = factor.value();
      if (paceMs === undefined || pauseFactor === undefined) {
        return paceExpectations.unknown;
      }
      return paceMs * pauseFactor <= targetGapMs
        ? paceExpectations.within
        : paceExpectations.beyond;
    },
    pauseFactor: factor.value,
  };
}

/** For services whose engines are not compared by pace. */
export const noPaces: DecodePaces = {
  beginRun: () => ({ note: () => undefined }),
  noteEnded: () => undefined,
  paceMs: () => undefined,
  expectation: () => paceExpectations.unknown,
  pauseFactor: () => undefined,
};
