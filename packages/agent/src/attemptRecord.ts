/**
 * Records the recent attempts of this process so that no attempt runs twice: an entry that lost a response
 * may send the same attempt again, and messages may arrive out of order.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';

export type AttemptPhase = 'reserved' | 'started' | 'cancelled' | 'ended';

export interface AttemptRecord {
  getPhase(attemptId: string): AttemptPhase | undefined;
  noteReserved(attemptId: string): void;
  /** Removes an attempt whose reservation was refused, so that it may be requested again. */
  forget(attemptId: string): void;
  /** Marks the attempt as started; false if it was started, cancelled or ended before and must not run. */
  tryStart(attemptId: string): boolean;
  noteCancelled(attemptId: string): void;
  noteEnded(attemptId: string): void;
}

export interface AttemptRecordOptions {
  /**
   * Maximum number of attempts; the oldest are evicted. An evicted attempt has no lease any more, so that it
   * cannot run either.
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
    getPhase: phases.get,
    noteReserved: (attemptId) => phases.set(attemptId, 'reserved'),
    forget: (attemptId) => {
      if (phases.get(attemptId) === 'reserved') {
        phases.delete(attemptId);
      }
    },
    tryStart: (attemptId) => {
      const mayStart = isUnstarted(phases.get(attemptId));
      if (mayStart) {
        phases.set(attemptId, 'started');
      }
      return mayStart;
    },
    noteCancelled: (attemptId) =>
      phases.set(attemptId, isUnstarted(phases.get(attemptId)) ? 'cancelled' : 'ended'),
    noteEnded: (attemptId) => phases.set(attemptId, 'ended'),
  };
}
