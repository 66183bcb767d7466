/**
 * Writes log lines to the standard output without blocking on its reader. Node.js writes to pipes
 * synchronously, so that a reader that pauses would block the whole process. Lines are queued in a bounded
 * buffer; lines that do not fit are dropped and counted.
 */
import SonicBoom from 'sonic-boom';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';

export interface LineWriterOptions {
  /** File descriptor; 1 is the standard output. */
  fd?: number;
  maxBufferedBytes?: number;
}

export interface LineWriter {
  write(line: string): void;
  droppedCount(): number;
  /** Resolves once the buffer has been written, or after `timeoutMs`. */
  flush(timeoutMs: number): Promise<void>;
}

/** A few thousand lines, which is some seconds of output of a busy process. */
const defaultMaxBufferedBytes = 1_048_576;
const stdoutFd = 1;
const flushPollMs = 5;

export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
  const { fd = stdoutFd, maxBufferedBytes = defaultMaxBufferedBytes } = options;
  const sink = new SonicBoom({ fd, sync: false, maxLength: maxBufferedBytes });
  let droppedCount = 0;
  let queuedBytes = 0;
  let writtenBytes = 0;
  sink.on('write', (byteCount) => {
    writtenBytes += byteCount;
  });
  sink.on('drop', (line) => {
    droppedCount += 1;
    queuedBytes -= Buffer.byteLength(line);
  });
  // A closed pipe must not end the process. The error has no log to go to and is only counted.
  sink.on('error', () => {
    droppedCount += 1;
  });

  async function flush(timeoutMs: number): Promise<void> {
    const endsAtMs = monotonicNowMs() + timeoutMs;
    while (writtenBytes < queuedBytes && monotonicNowMs() < endsAtMs) {
      await delay(flushPollMs);
    }
  }

  return {
    write(line) {
      const text = `${line}\n`;
      queuedBytes += Buffer.byteLength(text);
      sink.write(text);
    },
    droppedCount: () => droppedCount,
    flush,
  };
}
