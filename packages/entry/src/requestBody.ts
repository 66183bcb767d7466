/** Reads request bodies within limits on size and time. */
import type { IncomingMessage } from 'node:http';
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';
import { startPauseTolerantTimer } from '@bluebellhitch/shared';

export type BodyError =
  | { kind: 'too-large'; maxBytes: number }
  /** The body did not arrive in time. */
  | { kind: 'timeout'; timeoutMs: number }
  /** The caller disconnected. */
  | { kind: 'aborted' };

export interface ReadBodyOptions {
  maxBytes: number;
  /** Time within which the complete body must arrive; a pause of this process does not count. */
  timeoutMs: number;
}

/** The request's `Content-Length` in bytes. */
export function declaredLength(incoming: IncomingMessage): number | undefined {
  const text = incoming.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Reads the complete body; after an error the rest is not read. */
export function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): ResultAsync<Buffer, BodyError> {
  const { maxBytes } = options;
  if ((declaredLength(incoming) ?? 0) > maxBytes) {
    return errAsync({ kind: 'too-large', maxBytes });
  }
  return new ResultAsync(collectBody(incoming, options));
}

function collectBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Result<Buffer, BodyError>> {
  const { maxBytes, timeoutMs } = options;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, BodyError>) => {
      timer.stop();
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
    const timer = startPauseTolerantTimer(timeoutMs, () =>
      finish(err({ kind: 'timeout', timeoutMs })),
    );
    incoming.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose);
  });
}
