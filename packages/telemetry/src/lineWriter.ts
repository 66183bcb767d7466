/**
 * Writes log lines to the standard output without ever waiting for its reader. Node.js writes to pipes
 * synchronously: a reader that pauses would stop the whole process. Lines wait in a bounded buffer; what
 * does not fit is dropped and counted.
 */
import SonicBoom from 'sonic-boom';

export interface LineWriterOptions {
  /** File descriptor; 1 is the standard output. */
  fd?: number;
  maxBufferedBytes?: number;
}

export interface LineWriter {
  write(line: string): void;
  droppedCount(): number;
  /** Resolves once the buffer is written, or after `timeoutMs`. */
  flush(timeoutMs: number): Promise<void>;
}

/** A few thousand lines: some seconds of a busy process. */
const defaultMaxBufferedBytes = 1_048_576;
const standardOutput = 1;

export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
  const { fd = standardOutput, maxBufferedBytes = defaultMaxBufferedBytes } = options;
  const sink = new SonicBoom({ fd, sync: false, maxLength: maxBufferedBytes });
  let droppedCount = 0;
  sink.on('drop', () => {
    droppedCount += 1;
  });
  // A closed pipe must not end the process: it has nobody to tell.
  sink.on('error', () => {
    droppedCount += 1;
  });

  return {
    write(line) {
      sink.write(`${line}\n`);
    },
    droppedCount: () => droppedCount,
    flush: (timeoutMs) =>
      new Promise((resolve) => {
        const timer = setTimeout(resolve, timeoutMs);
        sink.flush(() => {
          clearTimeout(timer);
          resolve();
        });
      }),
  };
}
