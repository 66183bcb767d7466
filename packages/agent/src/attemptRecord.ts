/**
 * Remembers the recent attempts of this process, so that no attempt runs twice: an entry that lost
 * an answer may send the same attempt again, and messages may arrive in another order than sent.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export type AttemptPhase = 'reserved' | 'started' | 'cancelled' | 'ended';

export interface AttemptRecord {
  phaseOf(attemptId: string): AttemptPhase | undefined;
  reserved(attemptId: string): void;
  /** The reservation was refused, so that the same attempt may ask again. */
  forget(attemptId: string): void;
  /** False where the attempt has been started, cancelled or ended before: it must not run. */
  start(attemptId: string): boolean;
  cancelled(attemptId: string): void;
  ended(attemptId: string): void;
}

export interface AttemptRecordOptions {
  /**
   * Attempts remembered; the oldest go first. One that is forgotten has no lease any more and cannot
   * run either.
   */
  capacity?: number;
}

const defaultCapacity = 8192;

export function createAttemptRecord(options: AttemptRecordOptions = {}): AttemptRecord {
  const { capacity = defaultCapacity } = options;
  const phases = createBoundedMap<string, AttemptPhase>({ maxEntries: capacity });

  const isUnstarted = (phase: AttemptPhase | undefined) =>
    phase === undefined || phase === 'reserved';

  return {
    phaseOf: phases.get,
    reserved: (attemptId) => phases.set(attemptId, 'reserved'),
    forget: (attemptId) => {
      if (phases.get(attemptId) === 'reserved') {
        phases.delete(attemptId);
      }
    },
    start: (attemptId) => {
      const mayStart = isUnstarted(phases.get(attemptId));
      if (mayStart) {
        phases.set(attemptId, 'started');
      }
      return mayStart;
    },
    cancelled: (attemptId) =>
      phases.set(attemptId, isUnstarted(phases.get(attemptId)) ? 'cancelled' : 'ended'),
    ended: (attemptId) => phases.set(attemptId, 'ended'),
  };
}
