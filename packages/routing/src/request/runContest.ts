/**
 * Runs of one request that are in progress at the same time, as one of them is silent. The first that has something for
 * the caller goes on alone, and the others are ended: until then none is given up, since each may still go on.
 */

export interface RunContest {
  /** Adds a run that is about to be sent. */
  enter(): Contender;
  /** Whether a run has had something for the caller. */
  hasWinner(): boolean;
}

export interface Contender {
  /** Aborts when another run has something for the caller. */
  signal: AbortSignal;
  /**
   * To be called before anything is passed on to the caller. Returns false if another run has come first; otherwise that
   * ends the other ones.
   */
  claim(): boolean;
  /** Whether no other run of the request is in progress. */
  isAlone(): boolean;
  /** The run has ended. */
  leave(): void;
}

export function createRunContest(): RunContest {
  const contenders = new Set<AbortController>();
  let hasWinner = false;

  function endOthers(winner: AbortController): void {
    [...contenders]
      .filter((other) => other !== winner)
      .forEach((other) => {
        contenders.delete(other);
        other.abort();
      });
  }

  return {
    enter() {
      const controller = new AbortController();
      contenders.add(controller);
      return {
        signal: controller.signal,
        claim() {
          if (controller.signal.aborted) {
            return false;
          }
          hasWinner = true;
          endOthers(controller);
          return true;
        },
        isAlone: () => [...contenders].every((other) => other === controller),
        leave() {
          contenders.delete(controller);
        },
      };
    },
    hasWinner: () => hasWinner,
  };
}
