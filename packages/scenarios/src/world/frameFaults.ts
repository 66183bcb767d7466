/** Faults of frames between agents and entries. Each stream has its own state. */
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
  /** Agent whose streams are affected; if absent, all. */
  agentId?: string;
  kind: FrameFaultKind;
  /** Number of frames of a stream that pass before the first affected one. */
  after: number;
  /** Number of frames of a stream that are affected. */
  count: number;
}

/** Result for one frame: the frames that replace it, and whether the connection breaks after them. */
export interface PassedFrames {
  frames: StreamFrame[];
  disconnects: boolean;
}

export type FrameFilter = (frame: StreamFrame) => PassedFrames;

/** Creates the filter of one stream. It applies the fault that is set when a frame passes. */
export function createFrameFilter(readFault: () => FrameFault | undefined): FrameFilter {
  const passed: StreamFrame[] = [];
  let heldBack: StreamFrame | undefined;

  function release(frame: StreamFrame): PassedFrames {
    const frames = heldBack === undefined ? [frame] : [frame, heldBack];
    heldBack = undefined;
    return { frames, disconnects: false };
  }

  function applyFault(kind: FrameFaultKind, frame: StreamFrame): PassedFrames {
    switch (kind) {
      case 'duplicate':
        return { frames: [frame, frame], disconnects: false };
      case 'drop':
        return { frames: [], disconnects: false };
      case 'truncate':
        return { frames: [], disconnects: true };
      case 'foreign':
        return { frames: [foreignCopy(frame), frame], disconnects: false };
      case 'late':
        return { frames: [frame, ...passed.slice(0, 1)], disconnects: false };
      case 'reorder':
        if (heldBack !== undefined || frame.kind !== 'tokens') {
          return release(frame);
        }
        heldBack = frame;
        return { frames: [], disconnects: false };
      default:
        return assertNever(kind);
    }
  }

  let frameCount = 0;
  return (frame) => {
    const fault = readFault();
    const isAffected =
      fault !== undefined && frameCount >= fault.after && frameCount < fault.after + fault.count;
    frameCount += 1;
    const outcome = isAffected ? applyFault(fault.kind, frame) : release(frame);
    passed.push(frame);
    return outcome;
  };
}

/** Creates a frame of another response, as mixed-up connections would deliver it. */
function foreignCopy(frame: StreamFrame): StreamFrame {
  const attemptId = `${frame.attemptId}-of-another`;
  return frame.kind === 'tokens'
    ? { ...frame, attemptId, text: ' words-of-another' }
    : { ...frame, attemptId };
}
