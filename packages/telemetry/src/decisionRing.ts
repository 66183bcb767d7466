/** Decision records: what was seen and chosen for each request, kept for the most recent ones. */
import { invariant } from '@bluebellhitch/shared';

/** One step on the way of a request, such as bids seen or a retry. */
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
  /** Keeps the record; it may still grow afterwards. The oldest one is dropped when the ring is full. */
  record(record: DecisionRecord): void;
  find(requestId: string): DecisionRecord | undefined;
  /** Newest first. */
  recent(count: number): DecisionRecord[];
}

export interface DecisionRingOptions {
  /** Number of records kept. */
  capacity?: number;
}

/** Creates a ring that overwrites its oldest record. */
export function createDecisionRing(options: DecisionRingOptions = {}): DecisionRing {
  const { capacity = 256 } = options;
  invariant(Number.isInteger(capacity) && capacity > 0, 'the ring holds at least one record');
  const slots: DecisionRecord[] = [];
  const byRequestId = new Map<string, DecisionRecord>();
  let nextSlot = 0;

  function forget(record: DecisionRecord | undefined): void {
    // Callers may send one request id twice; the id then names the newer record.
    if (record !== undefined && byRequestId.get(record.requestId) === record) {
      byRequestId.delete(record.requestId);
    }
  }

  return {
    record(record) {
      forget(slots[nextSlot]);
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
