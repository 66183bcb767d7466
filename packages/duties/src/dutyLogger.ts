/** The part of the application's logger that the duties use. */

/** Structured logging: a message and its fields. */
export interface DutyLogger {
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
}

/** Logs nothing. */
export const silentLogger: DutyLogger = { info: () => {}, warn: () => {} };
