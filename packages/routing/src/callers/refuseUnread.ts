/** Refuses a request whose body has not been read to its end, so that its caller reads the refusal. */
import { endAfterUnreadBody, type UnreadRequest } from '@bluebellhitch/ports';
import type { Refusal } from '../model';
import { startRefusalOverHttp } from './httpExchange';

export function refuseUnread(
  unread: UnreadRequest,
  refusal: Refusal,
  maxDiscardedBytes: number,
): void {
  startRefusalOverHttp(unread.outgoing, refusal);
  endAfterUnreadBody(unread, maxDiscardedBytes);
}
