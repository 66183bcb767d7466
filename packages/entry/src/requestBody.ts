/** Reads request bodies within bounds of size and time. */
import type { IncomingMessage } from 'node:http';
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';

export type BodyError =
  | { kind: 'too-large'; maxBytes: number }
  /** The sender was too slow. */
  | { kind: 'timeout'; timeoutMs: number }
  /** The caller went away. */
  | { kind: 'aborted' };

export interface ReadBodyOptions {
  maxBytes: number;
  /** Bound for the whole body. */
  timeoutMs: number;
}

/** Length that the request announces, in bytes. */
export function announcedLength(incoming: IncomingMessage): number | undefined {
  const text = incoming.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Reads the whole body; after an error the rest of it is not read. */
export function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): ResultAsync<Buffer, BodyError> {
  const { maxBytes } = options;
  if ((announcedLength(incoming) ?? 0) > maxBytes) {
    return errAsync({ kind: 'too-large', maxBytes });
  }
  return new ResultAsync(collect(incoming, options));
}

function collect(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Result<Buffer, BodyError>> {
  const { maxBytes, timeoutMs } = options;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, BodyError>) => {
      clearTimeout(timer);
      incoming.off('data', onData).off('end', onEnd).off('close', onClose).off('error', onClose);
      incoming.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        finish(err({ kind: 'too-large', maxBytes }));
        return;
      }
      chunks.push(chunk);
    };
    const onEnd = () => finish(ok(Buffer.concat(chunks)));
    const onClose = () => finish(err({ kind: 'aborted' }));
    const timer = setTimeout(() => finish(err({ kind: 'timeout', timeoutMs })), timeoutMs);
    incoming.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
  });
}
