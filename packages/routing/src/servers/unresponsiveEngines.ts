/** Why engines count as unresponsive: what this router and its peers have seen of them. */
import type { CallOutcome } from '../backendApi';

export const unresponsiveCauses = {
  /** A load report had no response in time. */
  reportTimeout: 'report-timeout',
  /** The response to a load report was broken off or unusable. */
  reportLost: 'report-lost',
  /** The engine's address answered a load report with another status than success. */
  reportRejected: 'report-rejected',
  /** No connection to the engine: it was refused, or there was none in time. */
  unreachable: 'unreachable',
  /** The engine's address is now used by another server. */
  otherServer: 'other-server',
} as const;
export type UnresponsiveCause = (typeof unresponsiveCauses)[keyof typeof unresponsiveCauses];

/** The evidence that an engine is unresponsive, for the log and for decisions; ages are in ms. */
export interface UnresponsiveEvidence {
  /** What this router has seen itself, and for how long it has counted the engine as unresponsive. */
  own?: { cause: UnresponsiveCause; ageMs: number };
  /** The peers that say so, and for how long each has. */
  peers: { address: string; ageMs: number }[];
  /** Age of the last load report that this router has read; absent if there was none. */
  reportAgeMs?: number;
  /** Age of the last response to another call of this router; absent if there was none. */
  contactAgeMs?: number;
}

/** When an engine was last heard, here and at peers, on the monotonic clock. */
export interface EngineSilence {
  ownSilence?: { cause: UnresponsiveCause; sinceMs: number };
  peers: ReadonlyMap<string, { silentSinceMs?: number }>;
  /** -Infinity if there was none. */
  reportedAtMs: number;
  /** -Infinity if there was none. */
  contactAtMs: number;
}

/** Why a load report failed; undefined if it tells nothing of the engine, as it was not sent. */
export function causeOfFailedReport(
  outcome: Exclude<CallOutcome<unknown>, { kind: 'done' }>,
): UnresponsiveCause | undefined {
  if (outcome.kind === 'lost') {
    return outcome.isOurs ? unresponsiveCauses.reportTimeout : unresponsiveCauses.reportLost;
  }
  switch (outcome.cause.kind) {
    case 'rejected':
      return unresponsiveCauses.reportRejected;
    case 'other-server':
      return unresponsiveCauses.otherServer;
    case 'unreachable':
      return unresponsiveCauses.unreachable;
    case 'withheld':
      return undefined;
  }
}

/** Undefined if neither this router nor a peer counts the engine as unresponsive. */
export function describeSilence(
  { ownSilence, peers, reportedAtMs, contactAtMs }: EngineSilence,
  nowMs: number,
): UnresponsiveEvidence | undefined {
  const ageOf = (atMs: number) =>
    atMs === -Infinity ? undefined : Math.round(Math.max(0, nowMs - atMs));
  const silentPeers = [...peers].flatMap(([address, { silentSinceMs }]) =>
    silentSinceMs === undefined ? [] : [{ address, ageMs: ageOf(silentSinceMs) ?? 0 }],
  );
  if (ownSilence === undefined && silentPeers.length === 0) {
    return undefined;
  }
  return {
    own: ownSilence && { cause: ownSilence.cause, ageMs: ageOf(ownSilence.sinceMs) ?? 0 },
    peers: silentPeers,
    reportAgeMs: ageOf(reportedAtMs),
    contactAgeMs: ageOf(contactAtMs),
  };
}
