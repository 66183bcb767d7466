/**
 * Decides whether a process may act on what it has read: only if it has also read what arrived with it and after it, but
 * for the last moments. Times are milliseconds of one clock.
 */

export interface InputState {
  nowMs: number;
  /** All that had arrived by this time has been read. */
  readThroughMs: number;
  /** When the input that the action follows from was read. */
  readAtMs: number;
  /** Passes of the event loop that the action has waited for. */
  passCount: number;
}

/** Half of the half second after which nothing may be done for a caller that has left; the rest is for the way. */
const maxAgeMs = 250;
/** A process whose every pass takes longer than that would otherwise never act. */
const maxPasses = 3;

export function isInputCurrent({ nowMs, readThroughMs, readAtMs, passCount }: InputState): boolean {
  const isRecent = nowMs - readThroughMs <= maxAgeMs;
  return readThroughMs >= readAtMs && (isRecent || passCount >= maxPasses);
}
