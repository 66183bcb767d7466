/**
 * Ends a response to a request whose body has not been read to its end. A connection that is closed while bytes arrive is
 * reset, and the caller may lose the response. So the rest of the body is read and discarded, within limits, before the
 * response ends and its connection is closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Time for a caller to read the response and stop sending; a small part of what a process has for its shutdown. */
const maxDiscardMs = 2_000;
/** What a part of a body counts at least: the time that it takes does not follow its size. */
const minCountedBytes = 512;

export interface UnreadRequest {
  incoming: IncomingMessage;
  outgoing: ServerResponse;
}

/** To be called once all bytes of the response are written. Nothing else reads the body from then on. */
export function endAfterUnreadBody(
  { incoming, outgoing }: UnreadRequest,
  maxDiscardedBytes: number,
): void {
  let leftBytes = maxDiscardedBytes;
  const timer = setTimeout(finish, maxDiscardMs);

  function finish(): void {
    clearTimeout(timer);
    outgoing.end();
  }

  if (incoming.readableEnded || incoming.destroyed) {
    finish();
    return;
  }
  incoming.removeAllListeners('data');
  incoming.on('data', (chunk: Buffer) => {
    leftBytes -= Math.max(chunk.length, minCountedBytes);
    if (leftBytes < 0) {
      finish();
    }
  });
  incoming.once('end', finish);
  incoming.once('close', finish);
  incoming.once('error', finish);
  // A reader that has given up may have paused it.
  incoming.resume();
}
