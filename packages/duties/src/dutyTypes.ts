/** Small interfaces that the duties need from their surroundings. */

/** What a duty's lease proves right now. */
export interface HeldFencing {
  /** Strictly greater than that of every earlier holder. */
  fencingNumber: number;
  /** Remaining validity, less the margin for clocks that run apart. */
  validForMs: number;
}

/** A lease object on the platform that at most one instance holds at a time. */
export interface DutyLease {
  /** Starts competing for the lease; idempotent. */
  start(): void;
  /** Absent while not held, and from expiry less the margin on. */
  heldFencing(): HeldFencing | undefined;
  /** Stops competing and releases the lease where it is held; a later `start` competes again. */
  stop(): Promise<void>;
}

/** Makes the lease object `key`; durations in ms. */
export type DutyLeaseFactory = (options: {
  key: string;
  ttlMs: number;
  marginMs: number;
}) => DutyLease;

/** Structured logging: a message and its fields. */
export interface DutyLogger {
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
}

/** Logs nothing. */
export const silentLogger: DutyLogger = { info: () => {}, warn: () => {} };
