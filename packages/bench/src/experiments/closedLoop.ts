/** Keeps a fixed number of streams running, each followed by the next, with staggered starts. */
import { delay } from '@bluebellhitch/shared';

export interface ClosedLoopOptions {
  /** Streams at once. */
  streamCount: number;
  /** How many each of them runs, one after the other. */
  rounds: number;
  /** The first starts are spread over this time. */
  spreadMs: number;
  signal: AbortSignal;
}

/** `run` gets a number that is unique within the loop. Resolves with all results. */
export async function runClosedLoop<Result>(
  options: ClosedLoopOptions,
  run: (index: number) => Promise<Result>,
): Promise<Result[]> {
  const { streamCount, rounds, spreadMs, signal } = options;
  const lanes = Array.from({ length: streamCount }, async (_, lane) => {
    await delay((spreadMs * lane) / streamCount);
    const results: Result[] = [];
    for (let round = 0; round < rounds && !signal.aborted; round += 1) {
      results.push(await run(lane * rounds + round));
    }
    return results;
  });
  return (await Promise.all(lanes)).flat();
}
