/**
 * Refuses a request whose body has not been read to its end. A connection that is closed while bytes arrive is reset, and
 * the caller may lose the response. So the response is sent at once, and the rest of the body is read and discarded, within
 * limits, before the connection is closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal } from '../model';
import { startRefusalOverHttp } from './httpExchange';

/** Time for a caller to read the response and stop sending; a small part of what a process has for its shutdown. */
const maxDiscardMs = 2_000;
/** What a part of a body counts at least: the time that it takes does not follow its size. */
const minCountedBytes = 512;

export interface UnreadRequest {
  incoming: IncomingMessage;
  outgoing: ServerResponse;
}

export function refuseUnread(
  { incoming, outgoing }: UnreadRequest,
  refusal: Refusal,
  maxDiscardedBytes: number,
): void {
  startRefusalOverHttp(outgoing, refusal);
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
  incoming.on('data', (chunk: Buffer) => {
    leftBytes -= Math.max(chunk.length, minCountedBytes);
    if (leftBytes < 0) {
      finish();
    }
  });
  incoming.once('end', finish);
  incoming.once('close', finish);
  incoming.once('error', finish);
}
