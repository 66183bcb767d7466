/** Structured logs through roarr: one JSON object per line on the standard output. */

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Values logged with one message; they must be serialisable as JSON. */
export type LogContext = Record<string, unknown>;

export interface Logger {
  debug(message: string, context?: LogContext): void;
  info(message: string, context?: LogContext): void;
  warn(message: string, context?: LogContext): void;
  error(message: string, context?: LogContext): void;
}

export interface LoggerOptions {
  /** Name of the program, such as `bluebell-entry`. */
  binary: string;
  instanceId: string;
  /** Messages below this level are not logged. */
  level?: LogLevel;
  /** Receives each line without a trailing newline. */
  write?: (line: string) => void;
}

/** Fields of one log line. */
export interface LogLine {
  /** ISO 8601, UTC. */
  time: string;
  binary: string;
  instanceId: string;
  level: LogLevel;
  message: string;
  context: LogContext;
}

interface RoarrContext {
  binary: string;
  instanceId: string;
  level: LogLevel;
  values: LogContext;
}

const levelRank: Record<LogLevel, number> = { debug: 0, info: 1, warn: 2, error: 3 };

// Roarr reads this variable while it loads and logs nothing without it. A static import would load roarr
// before the assignment, especially in the bundled binaries.
process.env.ROARR_LOG = 'true';
const { ROARR, Roarr } = await import('roarr');

/** Creates the logger of one process. */
export function createLogger(options: LoggerOptions): Logger {
  const { binary, instanceId, level: lowestLevel = 'info', write = writeToStdout } = options;

  function log(level: LogLevel, message: string, values: LogContext = {}): void {
    if (levelRank[level] < levelRank[lowestLevel]) {
      return;
    }
    const context: RoarrContext = { binary, instanceId, level, values: plainValues(values) };
    // Roarr has one writer per process and calls it before `Roarr` returns.
    ROARR.write = write;
    ROARR.serializeMessage = ({ context: rawContext, message: text, time }) =>
      serializeLine(rawContext as unknown as RoarrContext, text, time);
    Roarr({ ...context } as never, '%s', message);
  }

  return {
    debug: (message, context) => log('debug', message, context),
    info: (message, context) => log('info', message, context),
    warn: (message, context) => log('warn', message, context),
    error: (message, context) => log('error', message, context),
  };
}

function serializeLine(context: RoarrContext, message: string, timeMs: number): string {
  const line: LogLine = {
    time: new Date(timeMs).toISOString(),
    binary: context.binary,
    instanceId: context.instanceId,
    level: context.level,
    message,
    context: context.values,
  };
  return JSON.stringify(line);
}

/** Errors have no enumerable fields, so JSON would show them as `{}`. */
function plainValues(values: LogContext): LogContext {
  return Object.fromEntries(
    Object.entries(values).map(([name, value]) => [
      name,
      value instanceof Error ? (value.stack ?? value.message) : value,
    ]),
  );
}

function writeToStdout(line: string): void {
  process.stdout.write(`${line}\n`);
}
