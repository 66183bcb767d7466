/** A sequence of the stand-in engine's scheduler, by its size alone. */
import type { Sequence } from '@bluebellhitch/standins';

/** Assumed by engines for requests without a level. */
const defaultUrgencyLevel = 5;

export function createSequence(
  requestId: string,
  promptTokens: number,
  urgencyLevel = defaultUrgencyLevel,
): Sequence {
  return {
    attemptId: requestId,
    kind: 'decode',
    priority: urgencyLevel,
    prompt: '',
    promptTokens,
    heldKvBytes: 0,
    contextReady: false,
    offset: 0,
    endOffset: 0,
    onStart: (contextTokens) => contextTokens,
    onPrefillTokens: () => undefined,
    onContextReady: () => undefined,
    onToken: () => undefined,
    onFinished: () => undefined,
    onPreempted: () => undefined,
  };
}
