/** Forwards the engine's chunks of one attempt as frames, in order and without chunks of other attempts. */
import {
  createStreamGuard,
  type GuardedFrame,
  type StreamGuard,
  type TruncationCause,
} from '@bluebellhitch/decisions';
import type { EngineChunk } from '@bluebellhitch/engine';
import type { FinishReason, StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import {
  createStallWatch,
  type StalledSide,
  type StallLimits,
  type StallWatch,
} from './stallWatch';

/** Sends a frame; a returned promise resolves once the receiver can take more. */
export type FrameSink = (frame: StreamFrame) => void | Promise<void>;

export interface ForwardOptions {
  request: Pick<StreamRequest, 'attemptId' | 'emitted'>;
  chunks: AsyncIterable<EngineChunk>;
  sink: FrameSink;
  limits: StallLimits;
  /** Called once when the engine or the receiver stalls; expected to end `chunks`. */
  onStall: () => void;
  /** Called for each token with the time since the previous one, undefined for the first. */
  onToken: (emittedTokens: number, gapMs: number | undefined) => void;
  onDropped: (cause: DropCause) => void;
}

export type DropCause = Extract<GuardedFrame, { kind: 'ignore' }>['cause'];

export type ForwardOutcome =
  | { kind: 'complete'; emittedTokens: number; totalTokens: number; finishReason: FinishReason }
  | {
      kind: 'interrupted';
      emittedTokens: number;
      stalledSide: StalledSide | undefined;
      truncationCause: TruncationCause | undefined;
    };

export async function forwardChunks(options: ForwardOptions): Promise<ForwardOutcome> {
  const { attemptId, emitted } = options.request;
  const guard = createStreamGuard({ attemptId, startOffset: emitted.tokenCount });
  const watch = createStallWatch(options.limits, options.onStall);
  const emittedTokens = () => guard.deliveredTokens() - emitted.tokenCount;
  try {
    const last = await forwardUntilEnd(options, guard, watch, emittedTokens);
    if (last?.kind === 'complete') {
      return { ...last, emittedTokens: emittedTokens() };
    }
    const truncationCause = last?.kind === 'truncated' ? last.cause : undefined;
    return {
      kind: 'interrupted',
      emittedTokens: emittedTokens(),
      stalledSide: watch.stalledSide(),
      truncationCause,
    };
  } finally {
    watch.stop();
  }
}

/** Resolves to the frame that ended the stream; undefined if it ended without an end marker. */
async function forwardUntilEnd(
  options: ForwardOptions,
  guard: StreamGuard,
  watch: StallWatch,
  emittedTokens: () => number,
): Promise<GuardedFrame | undefined> {
  let lastAtMs: number | undefined;
  try {
    for await (const chunk of options.chunks) {
      const frame = toFrame(chunk);
      const verdict = guard.accept(frame);
      switch (verdict.kind) {
        case 'deliver': {
          const nowMs = monotonicNowMs();
          options.onToken(emittedTokens(), lastAtMs === undefined ? undefined : nowMs - lastAtMs);
          lastAtMs = nowMs;
          await deliver(frame, options.sink, watch);
          break;
        }
        case 'ignore':
          options.onDropped(verdict.cause);
          break;
        default:
          return verdict;
      }
    }
  } catch {
    // An error of the stream is handled like an end without an end marker.
  }
  return undefined;
}

async function deliver(frame: StreamFrame, sink: FrameSink, watch: StallWatch): Promise<void> {
  const drained = sink(frame);
  if (drained !== undefined) {
    watch.startReceiverWait();
    await drained;
  }
  watch.startEngineWait();
}

function toFrame(chunk: EngineChunk): StreamFrame {
  const { attemptId, offset } = chunk;
  return chunk.kind === 'token'
    ? { kind: 'tokens', attemptId, offset, tokenCount: 1, text: chunk.text }
    : { kind: 'end', attemptId, offset, finishReason: chunk.finishReason };
}
