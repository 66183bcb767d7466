/** How often each of many routers may rewrite an object of its own in a store whose rate and bytes are limited. */

export interface WritePaceOptions {
  /** Routers that write at the same time. */
  writerCount: number;
  /** Size of the object. */
  objectBytes: number;
  /** Writes that all routers together may make. */
  writesPerSecond: number;
  /** Rate at which this router may write. */
  bytesPerSecond: number;
  /** Bytes that it has saved by writing less before. */
  savedBytes: number;
  /** Writes within a shorter time are made as one. */
  minIntervalMs: number;
}

const msPerSecond = 1_000;

/** Shortest time between two writes that keeps to all limits. */
export function writeIntervalMs(options: WritePaceOptions): number {
  const { writerCount, objectBytes, writesPerSecond, minIntervalMs } = options;
  const { bytesPerSecond, savedBytes } = options;
  return Math.max(
    minIntervalMs,
    (writerCount / writesPerSecond) * msPerSecond,
    ((objectBytes - savedBytes) / bytesPerSecond) * msPerSecond,
  );
}
