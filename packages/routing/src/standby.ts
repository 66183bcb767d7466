/**
 * Keeps a request going whose server is silent: tries to have another run of it begun, without ending the silent one. The
 * silent server may be sound and go on at any moment, and the other run may find no server, no memory or no further attempt.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

export interface Standby<Outcome> {
  /** The run is silent; may be called again and again. */
  noteSilent(silentMs: number): void;
  /** Resolves with the outcome of the last run that was begun; undefined if there was none. */
  outcome(): Promise<Outcome> | undefined;
}

/** Between two tries: memory elsewhere or a further attempt may be free by then. */
const retryIntervalMs = 500;

/** `begin` returns undefined if no other run may begin now. */
export function createStandby<Outcome>(
  begin: (silentMs: number) => Promise<Outcome> | undefined,
): Standby<Outcome> {
  let isInProgress = false;
  let latest: Promise<Outcome> | undefined;
  let nextTryAtMs = -Infinity;

  function delayNextTry(): void {
    nextTryAtMs = monotonicNowMs() + retryIntervalMs;
  }

  async function follow(run: Promise<Outcome>): Promise<Outcome> {
    isInProgress = true;
    const outcome = await run;
    isInProgress = false;
    delayNextTry();
    return outcome;
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
    outcome: () => latest,
  };
}
