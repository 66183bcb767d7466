/** Runs requests in a closed loop: a fixed number of concurrent streams with staggered starts. */
import { delay } from '@bluebellhitch/shared';

export interface ClosedLoopOptions {
  /** Number of concurrent streams. */
  streamCount: number;
  /** Number of requests that each stream runs in sequence. */
  rounds: number;
  /** Period over which the first requests of the streams are spread. */
  rampUpMs: number;
  signal: AbortSignal;
}

/** Calls `run` with an index that is unique within the loop; resolves with all results. */
export async function runClosedLoop<Result>(
  options: ClosedLoopOptions,
  run: (index: number) => Promise<Result>,
): Promise<Result[]> {
  const { streamCount, rounds, rampUpMs, signal } = options;
  const streams = Array.from({ length: streamCount }, async (_, stream) => {
    await delay((rampUpMs * stream) / streamCount);
    const results: Result[] = [];
    for (let round = 0; round < rounds && !signal.aborted; round += 1) {
      results.push(await run(stream * rounds + round));
    }
    return results;
  });
  return (await Promise.all(streams)).flat();
}
