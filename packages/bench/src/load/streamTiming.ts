/** Measures the times of one streamed response. */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface StreamTiming {
  /** Records a chunk of text; call it when the chunk arrives. */
  recordToken(text: string): void;
  read(): StreamTimes;
}

/** Times in milliseconds from the start of the measurement. */
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
    recordToken: (text) => {
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
