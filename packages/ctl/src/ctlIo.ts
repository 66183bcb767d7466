/** I/O of a verb besides the platform: output, files and the admin ports of processes. */
import type { Result } from 'neverthrow';
import { ctlExitCodes, type CtlExitCode } from './exitCodes';

/** Each function returns its text with terminal styling, or unchanged if the output is not a terminal. */
export interface TextStyles {
  success(text: string): string;
  failure(text: string): string;
  dim(text: string): string;
  bold(text: string): string;
}

export interface CtlIo {
  /** Prints the result as one JSON object. */
  json: boolean;
  styles: TextStyles;
  writeOutput(text: string): void;
  writeError(text: string): void;
  /** Reads a file, or standard input for `-`. The error is the reason why it cannot be read. */
  readFile(path: string): Promise<Result<string, string>>;
  /** Fetches a JSON value from the admin port of a process. */
  readAdmin(address: string, path: string): Promise<Result<unknown, AdminError>>;
  delay(durationMs: number): Promise<void>;
}

export type AdminError = { kind: 'not-found' } | { kind: 'unreachable'; detail: string };

/** The result of a verb, for both output formats. */
export interface Report {
  exitCode: CtlExitCode;
  /** Fields of the JSON output. */
  data: Record<string, unknown>;
  /** Lines of the text output. */
  lines: readonly string[];
}

/** Prints a report as JSON or as text. Text goes to standard error if the verb failed. */
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

/** A report that consists of one error message. */
export function failureReport(exitCode: CtlExitCode, error: string): Report {
  return { exitCode, data: { error }, lines: [error] };
}

export const plainStyles: TextStyles = {
  success: (text) => text,
  failure: (text) => text,
  dim: (text) => text,
  bold: (text) => text,
};

export const colourStyles: TextStyles = {
  success: (text) => `\u001b[32m${text}\u001b[39m`,
  failure: (text) => `\u001b[31m${text}\u001b[39m`,
  dim: (text) => `\u001b[2m${text}\u001b[22m`,
  bold: (text) => `\u001b[1m${text}\u001b[22m`,
};
