/**
 * Safeguards that a world can disable through its fakes, to show that a scenario fails without them.
 * Production code has no such switch.
 */
import { okAsync } from 'neverthrow';
import type { ClaimStore } from '@bluebellhitch/objects';
import type { StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import type { StreamTampering } from './agentLink';

export const safeguards = [
  /** Leases expire without heartbeats. Disabled: the world also renews the leases of entries that have exited. */
  'lease-expiry',
  /** A closed connection ends its work. Disabled: agents do not learn that a connection closed. */
  'connection-close',
  /** An engine's memory counts as free only once its own list shows it. Disabled: the list is always empty. */
  'engine-list',
  /** A claim is granted once only. Disabled: every claim is granted. */
  'claims',
  /** Attempt ids and offsets of frames are checked. Disabled: the link replaces them by the expected ones. */
  'frame-guard',
  /** A continuation starts after the emitted tokens. Disabled: it starts anew, with the expected offsets. */
  'resume-position',
  /** Requests that crash servers get strikes. Disabled: no strike is counted. */
  'strikes',
  /** Strikes are shared through the platform and the peers. Disabled: each entry keeps its own. */
  'strike-sharing',
  /** A leaving agent refuses new work. Disabled: it does not learn that it is leaving. */
  'leaving-refusal',
  /** The highest generation wins. Disabled: every record is stamped as the newest. */
  'generation-check',
  /** Agents refuse outdated fencing numbers. Disabled: orders go directly to the engine. */
  'order-guard',
] as const;
export type Safeguard = (typeof safeguards)[number];

/** Creates a claim store that grants every claim. */
export function createGrantingClaimStore(): ClaimStore {
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

/** Creates the tampering that disables the safeguards of streams. */
export function createStreamTampering(
  isDisabled: (safeguard: Safeguard) => boolean,
): StreamTampering {
  return {
    request: (request) =>
      isDisabled('resume-position')
        ? { ...request, emitted: { tokenCount: 0, text: '' } }
        : request,
    frames: (request) =>
      isDisabled('frame-guard') || isDisabled('resume-position')
        ? restampFrames(request)
        : (frame) => frame,
  };
}

/** Replaces the attempt id and the offset of each frame by those that its reader expects. */
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
