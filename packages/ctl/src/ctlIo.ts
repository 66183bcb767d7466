/** What a verb may touch besides the platform: output, files and the processes' admin ports. */
import type { Result } from 'neverthrow';
import { ctlExitCodes, type CtlExitCode } from './exitCodes';

/** Each returns its text coloured, or unchanged where output is no terminal. */
export interface Paint {
  good(text: string): string;
  bad(text: string): string;
  faint(text: string): string;
  strong(text: string): string;
}

export interface CtlIo {
  /** Whether the result is printed as one JSON object. */
  json: boolean;
  paint: Paint;
  writeOutput(text: string): void;
  writeError(text: string): void;
  /** Reads a file; `-` means standard input. The error says why it cannot be read. */
  readFile(path: string): Promise<Result<string, string>>;
  /** `GET` of a JSON value from a process's admin port. */
  readAdmin(address: string, path: string): Promise<Result<unknown, AdminError>>;
  delay(durationMs: number): Promise<void>;
}

export type AdminError = { kind: 'not-found' } | { kind: 'unreachable'; detail: string };

/** The result of a verb, in both forms. */
export interface Report {
  exitCode: CtlExitCode;
  /** Fields of the JSON form. */
  data: Record<string, unknown>;
  /** Lines of the form for people. */
  lines: readonly string[];
}

/** Prints a report in the form that was asked for. Failures go to standard error for people. */
export function printReport(io: CtlIo, { exitCode, data, lines }: Report): CtlExitCode {
  if (io.json) {
    io.writeOutput(`${JSON.stringify({ exitCode, ...data }, null, 2)}\n`);
    return exitCode;
  }
  const write = exitCode === ctlExitCodes.ok ? io.writeOutput : io.writeError;
  if (lines.length > 0) {
    write(`${lines.join('\n')}\n`);
  }
  return exitCode;
}

/** A report that is one sentence about what went wrong. */
export function failureReport(exitCode: CtlExitCode, error: string): Report {
  return { exitCode, data: { error }, lines: [error] };
}

export const plainPaint: Paint = {
  good: (text) => text,
  bad: (text) => text,
  faint: (text) => text,
  strong: (text) => text,
};

export const colourPaint: Paint = {
  good: (text) => `\u001b[32m${text}\u001b[39m`,
  bad: (text) => `\u001b[31m${text}\u001b[39m`,
  faint: (text) => `\u001b[2m${text}\u001b[22m`,
  strong: (text) => `\u001b[1m${text}\u001b[22m`,
};
