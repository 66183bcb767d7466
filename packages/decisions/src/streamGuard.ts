/**
 * Validates an attempt's frames before they reach the caller. A frame is delivered only if it belongs to
 * this attempt and continues exactly where the last one ended; a response is complete only with its end
 * marker, whose offset must equal the number of tokens delivered.
 */
import type { FinishReason, StreamFrame } from '@bluebellhitch/protocol';
import { assertNever, invariant } from '@bluebellhitch/shared';

export const ignoredFrameCauses = {
  foreignAttempt: 'foreign-attempt',
  duplicate: 'duplicate',
  afterEnd: 'after-end',
} as const;
export type IgnoredFrameCause = (typeof ignoredFrameCauses)[keyof typeof ignoredFrameCauses];

export const truncationCauses = {
  /** Tokens are missing between two frames. */
  gap: 'gap',
  /** A frame repeats tokens and adds new ones; its text cannot be split between tokens. */
  overlap: 'overlap',
  /** The attempt starts over instead of resuming: its text need not match what was delivered. */
  restarted: 'restarted',
  /** The end marker's offset differs from the number of tokens delivered. */
  endMismatch: 'end-mismatch',
  /** The stream closed without an end marker. */
  closed: 'closed',
} as const;
export type TruncationCause = (typeof truncationCauses)[keyof typeof truncationCauses];

export type FailedFrame = Extract<StreamFrame, { kind: 'failed' }>;

export type GuardedFrame =
  | { kind: 'deliver'; offset: number; tokenCount: number; text: string }
  /** Dropped and counted; the stream continues. */
  | { kind: 'ignore'; cause: IgnoredFrameCause }
  | { kind: 'complete'; totalTokens: number; finishReason: FinishReason }
  /** The attempt cannot complete: resume on another server after `deliveredTokens`, or fail. */
  | { kind: 'truncated'; cause: TruncationCause; deliveredTokens: number; receivedOffset?: number }
  | { kind: 'failed'; failure: FailedFrame; deliveredTokens: number };

export interface StreamGuardOptions {
  attemptId: string;
  /** Tokens that earlier attempts delivered. */
  startOffset?: number;
}

export interface StreamGuard {
  accept(frame: StreamFrame): GuardedFrame;
  /** To be called when the stream closes: truncated, unless it has already ended. */
  close(): GuardedFrame;
  /** Tokens delivered to the caller, those of earlier attempts included. */
  deliveredTokens(): number;
  /** Whether the stream completed, failed or was found truncated. */
  ended(): boolean;
  ignoredCounts(): Readonly<Record<IgnoredFrameCause, number>>;
}

export function createStreamGuard(options: StreamGuardOptions): StreamGuard {
  const { attemptId, startOffset = 0 } = options;
  const ignored = { 'foreign-attempt': 0, duplicate: 0, 'after-end': 0 };
  let deliveredTokens = startOffset;
  let ended = false;

  function ignore(cause: IgnoredFrameCause): GuardedFrame {
    ignored[cause] += 1;
    return { kind: 'ignore', cause };
  }

  function truncate(cause: TruncationCause, receivedOffset?: number): GuardedFrame {
    ended = true;
    return { kind: 'truncated', cause, deliveredTokens, receivedOffset };
  }

  function acceptTokens(frame: Extract<StreamFrame, { kind: 'tokens' }>): GuardedFrame {
    const { offset, tokenCount, text } = frame;
    if (offset < startOffset) {
      return truncate(truncationCauses.restarted, offset);
    }
    if (offset + tokenCount <= deliveredTokens) {
      return ignore(ignoredFrameCauses.duplicate);
    }
    if (offset !== deliveredTokens) {
      const cause = offset > deliveredTokens ? truncationCauses.gap : truncationCauses.overlap;
      return truncate(cause, offset);
    }
    deliveredTokens += tokenCount;
    return { kind: 'deliver', offset, tokenCount, text };
  }

  function acceptEnd(frame: Extract<StreamFrame, { kind: 'end' }>): GuardedFrame {
    if (frame.offset !== deliveredTokens) {
      return truncate(truncationCauses.endMismatch, frame.offset);
    }
    ended = true;
    return { kind: 'complete', totalTokens: deliveredTokens, finishReason: frame.finishReason };
  }

  function accept(frame: StreamFrame): GuardedFrame {
    // An engine that reuses a slot may send a frame of the slot's previous request, so that without this
    // check the caller would read another caller's text. Every frame carries its attempt id.
    if (frame.attemptId !== attemptId) {
      return ignore(ignoredFrameCauses.foreignAttempt);
    }
    if (ended) {
      return ignore(ignoredFrameCauses.afterEnd);
    }
    switch (frame.kind) {
      case 'tokens':
        return acceptTokens(frame);
      case 'end':
        return acceptEnd(frame);
      case 'failed':
        ended = true;
        return { kind: 'failed', failure: frame, deliveredTokens };
      default:
        return assertNever(frame);
    }
  }

  invariant(startOffset >= 0, 'startOffset must not be negative');
  return {
    accept,
    close: () => (ended ? ignore(ignoredFrameCauses.afterEnd) : truncate(truncationCauses.closed)),
    deliveredTokens: () => deliveredTokens,
    ended: () => ended,
    ignoredCounts: () => ignored,
  };
}
