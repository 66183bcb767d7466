/** Decision records of the most recent requests: the information and the decisions at each step. */
import { invariant } from '@bluebellhitch/shared';

/** One step in the processing of a request, such as received bids or a retry. */
export interface DecisionStep {
  /** Milliseconds since the request arrived. */
  atMs: number;
  kind: string;
  detail: Record<string, unknown>;
}

export interface DecisionRecord {
  requestId: string;
  service: string;
  institution: string;
  className: string;
  /** ISO 8601, UTC. */
  startedAt: string;
  /** Institution and body digest, as used by quarantine. */
  fingerprint?: string;
  steps: DecisionStep[];
  /** Empty while the request runs. */
  outcome: string;
}

export interface DecisionRing {
  /** Stores the record, which may still be extended afterwards. A full ring drops its oldest record. */
  record(record: DecisionRecord): void;
  find(requestId: string): DecisionRecord | undefined;
  /** Newest first. */
  recent(count: number): DecisionRecord[];
}

export interface DecisionRingOptions {
  /** Maximum number of records. */
  capacity?: number;
}

/** Creates a ring that overwrites its oldest record. */
export function createDecisionRing(options: DecisionRingOptions = {}): DecisionRing {
  const { capacity = 256 } = options;
  invariant(Number.isInteger(capacity) && capacity > 0, 'the ring holds at least one record');
  const slots: DecisionRecord[] = [];
  const byRequestId = new Map<string, DecisionRecord>();
  let nextSlot = 0;

  function removeFromIndex(record: DecisionRecord | undefined): void {
    // Callers may use a request id twice; the id then refers to the newer record.
    if (record !== undefined && byRequestId.get(record.requestId) === record) {
      byRequestId.delete(record.requestId);
    }
  }

  return {
    record(record) {
      removeFromIndex(slots[nextSlot]);
      slots[nextSlot] = record;
      byRequestId.set(record.requestId, record);
      nextSlot = (nextSlot + 1) % capacity;
    },
    find: (requestId) => byRequestId.get(requestId),
    recent(count) {
      const oldestFirst = [...slots.slice(nextSlot), ...slots.slice(0, nextSlot)];
      return oldestFirst.reverse().slice(0, Math.max(0, count));
    },
  };
}
