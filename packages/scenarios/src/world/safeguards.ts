/**
 * Safeguards that a world can take away by its fakes, so that a scenario is seen to fail without
 * them. Production code has no such switch.
 */
import { okAsync } from 'neverthrow';
import type { ClaimStore } from '@bluebellhitch/objects';
import type { StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import type { StreamTampering } from './agentLink';

export const safeguards = [
  /** Leases end without heartbeats: the world renews those of entries that are gone. */
  'lease-expiry',
  /** A closed connection ends its work: agents do not learn of it. */
  'connection-close',
  /** An engine's memory counts as free once its own list says so: the list is always empty. */
  'engine-list',
  /** One run for each claim: every claim is granted. */
  'claims',
  /** Attempt ids and offsets of frames: the link makes all of them look right. */
  'frame-guard',
  /** A continuation starts behind what was emitted: it starts anew, with offsets that look right. */
  'resume-position',
  /** Strikes on requests that crash servers: none is counted. */
  'strikes',
  /** Strikes are shared through the platform and peers: they stay at their entry. */
  'strike-sharing',
  /** An agent that leaves refuses new work: it does not learn that it leaves. */
  'leaving-refusal',
  /** The highest generation wins: records look new however old they are. */
  'generation-check',
  /** Agents refuse old fencing numbers: orders go straight to the engine. */
  'order-guard',
] as const;
export type Safeguard = (typeof safeguards)[number];

/** Grants every claim. */
export function createOpenClaims(): ClaimStore {
  return {
    take: ({ key, requestId, attemptId }) =>
      okAsync({
        kind: 'taken' as const,
        claim: { key, requestId, attemptId, dispatchBeforeMs: Infinity },
      }),
    finish: () => okAsync(undefined),
    release: () => okAsync(undefined),
    settle: () => Promise.resolve(),
  };
}

/** The tampering that takes the stream's safeguards away. */
export function createStreamTampering(
  isWithout: (safeguard: Safeguard) => boolean,
): StreamTampering {
  return {
    request: (request) =>
      isWithout('resume-position') ? { ...request, emitted: { tokenCount: 0, text: '' } } : request,
    frames: (request) =>
      isWithout('frame-guard') || isWithout('resume-position')
        ? restampFrames(request)
        : (frame) => frame,
  };
}

/** Gives each frame the attempt id and the offset that its reader expects. */
function restampFrames({ attemptId, emitted }: StreamRequest): (frame: StreamFrame) => StreamFrame {
  let offset = emitted.tokenCount;
  return (frame) => {
    if (frame.kind === 'failed') {
      return { ...frame, attemptId };
    }
    const restamped = { ...frame, attemptId, offset };
    offset += frame.kind === 'tokens' ? frame.tokenCount : 0;
    return restamped;
  };
}
