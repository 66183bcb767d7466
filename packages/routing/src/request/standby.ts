/**
 * Keeps a request going whose server is silent: tries to have another run of it begun, without ending the silent one. The
 * silent server may be sound and go on at any moment, and the other run may find no server, no memory or no further attempt.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface Standby<Outcome> {
  /** The run is silent; may be called again and again. */
  noteSilent(silentMs: number): void;
  /** Resolves with the best outcome of all runs that were begun; undefined if there was none. */
  outcome(): Promise<Outcome | undefined>;
}

export interface StandbyOptions<Outcome> {
  /** Returns undefined if no other run may begin now. */
  begin(silentMs: number): Promise<Outcome> | undefined;
  better(known: Outcome, other: Outcome): Outcome;
}

/** Between two tries: memory elsewhere or a further attempt may be free by then. */
const retryIntervalMs = 500;

export function createStandby<Outcome>({
  begin,
  better,
}: StandbyOptions<Outcome>): Standby<Outcome> {
  let isInProgress = false;
  let latest: Promise<void> | undefined;
  let best: Outcome | undefined;
  let nextTryAtMs = -Infinity;

  function delayNextTry(): void {
    nextTryAtMs = monotonicNowMs() + retryIntervalMs;
  }

  async function follow(run: Promise<Outcome>): Promise<void> {
    isInProgress = true;
    const outcome = await run;
    best = best === undefined ? outcome : better(best, outcome);
    isInProgress = false;
    delayNextTry();
  }

  return {
    noteSilent(silentMs) {
      if (isInProgress || monotonicNowMs() < nextTryAtMs) {
        return;
      }
      delayNextTry();
      const run = begin(silentMs);
      latest = run === undefined ? latest : follow(run);
    },
    async outcome() {
      await latest;
      return best;
    },
  };
}
