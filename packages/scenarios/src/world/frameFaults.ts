/** Faults of frames between agents and entries: each stream has its own state. */
import type { StreamFrame } from '@bluebellhitch/protocol';
import { assertNever } from '@bluebellhitch/shared';

export const frameFaultKinds = [
  'duplicate',
  'reorder',
  'drop',
  'truncate',
  'foreign',
  'late',
] as const;
export type FrameFaultKind = (typeof frameFaultKinds)[number];

export interface FrameFault {
  /** Agent whose streams it meets; absent: all. */
  agentId?: string;
  kind: FrameFaultKind;
  /** Frames of a stream that pass before it begins. */
  after: number;
  /** Frames of a stream that it meets. */
  count: number;
}

/** What becomes of one frame: the frames in its place, and whether the connection breaks behind them. */
export interface PassedFrames {
  frames: StreamFrame[];
  breaks: boolean;
}

export type FrameFilter = (frame: StreamFrame) => PassedFrames;

/** A filter for one stream under the faults that are set when each frame passes. */
export function createFrameFilter(faultOf: () => FrameFault | undefined): FrameFilter {
  const passed: StreamFrame[] = [];
  let heldBack: StreamFrame | undefined;

  function release(frame: StreamFrame): PassedFrames {
    const frames = heldBack === undefined ? [frame] : [frame, heldBack];
    heldBack = undefined;
    return { frames, breaks: false };
  }

  function meet(kind: FrameFaultKind, frame: StreamFrame): PassedFrames {
    switch (kind) {
      case 'duplicate':
        return { frames: [frame, frame], breaks: false };
      case 'drop':
        return { frames: [], breaks: false };
      case 'truncate':
        return { frames: [], breaks: true };
      case 'foreign':
        return { frames: [foreignCopy(frame), frame], breaks: false };
      case 'late':
        return { frames: [frame, ...passed.slice(0, 1)], breaks: false };
      case 'reorder':
        if (heldBack !== undefined || frame.kind !== 'tokens') {
          return release(frame);
        }
        heldBack = frame;
        return { frames: [], breaks: false };
      default:
        return assertNever(kind);
    }
  }

  let seenCount = 0;
  return (frame) => {
    const fault = faultOf();
    const isMet =
      fault !== undefined && seenCount >= fault.after && seenCount < fault.after + fault.count;
    seenCount += 1;
    const outcome = isMet ? meet(fault.kind, frame) : release(frame);
    passed.push(frame);
    return outcome;
  };
}

/** A frame of another answer, as a connection that was mixed up would bring it. */
function foreignCopy(frame: StreamFrame): StreamFrame {
  const attemptId = `${frame.attemptId}-of-another`;
  return frame.kind === 'tokens'
    ? { ...frame, attemptId, text: ' words-of-another' }
    : { ...frame, attemptId };
}
