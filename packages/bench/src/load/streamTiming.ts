/** Takes the times of one streamed answer. */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface StreamTiming {
  /** Call with each piece of text, at the time it arrives. */
  token(text: string): void;
  read(): StreamTimes;
}

/** Milliseconds from the start of the timing. */
export interface StreamTimes {
  text: string;
  firstTokenMs?: number;
  lastTokenMs?: number;
  gapsMs: number[];
  endMs: number;
}

export function createStreamTiming(startedAtMs = monotonicNowMs()): StreamTiming {
  const parts: string[] = [];
  const gapsMs: number[] = [];
  let firstTokenMs: number | undefined;
  let lastTokenMs: number | undefined;
  return {
    token: (text) => {
      const nowMs = monotonicNowMs() - startedAtMs;
      if (lastTokenMs !== undefined) {
        gapsMs.push(nowMs - lastTokenMs);
      }
      firstTokenMs ??= nowMs;
      lastTokenMs = nowMs;
      parts.push(text);
    },
    read: () => ({
      text: parts.join(''),
      firstTokenMs,
      lastTokenMs,
      gapsMs,
      endMs: monotonicNowMs() - startedAtMs,
    }),
  };
}
