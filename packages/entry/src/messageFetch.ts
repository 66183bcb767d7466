/** Transport of tRPC messages over undici's `request`, which has less overhead than its `fetch`. */
import { request as sendRequest, type Dispatcher } from 'undici';
import { createResponseReader, type ResponseReaderOptions } from '@bluebellhitch/ports';

/** Error code for refused credentials, in which case the other process did not act on the call. */
export const credentialsRefusedCode = 'ERR_CREDENTIALS_REFUSED';

const unauthorizedStatus = 401;

export type ControlBytesListener = (direction: 'sent' | 'received', byteCount: number) => void;

/** Replies are bids, reservations and the like. */
const defaultLimits = { maxBytes: 4_194_304, maxTotalBytes: 33_554_432 } as const;

/**
 * Creates a `fetch` for tRPC links; `onControlBytes` receives the size of each message and reply. It rejects, and closes the
 * connection, if a reply is longer than the limits.
 */
export function createMessageFetch(
  dispatcher: Dispatcher,
  onControlBytes?: ControlBytesListener,
  limits: ResponseReaderOptions = defaultLimits,
) {
  const reader = createResponseReader(limits);
  return async (input: unknown, init?: unknown) => {
    const { method, headers, body, signal } = (init ?? {}) as RequestInit;
    const response = await sendRequest(String(input), {
      dispatcher,
      method: method ?? 'GET',
      headers: headers as Record<string, string>,
      body: body as string | undefined,
      signal: signal ?? undefined,
    });
    const reply = await reader.read(response.body);
    if (reply.isErr()) {
      throw reply.error.kind === 'too-long' ? new Error(reply.error.detail) : reply.error.cause;
    }
    const text = reply.value.toString();
    if (response.statusCode === unauthorizedStatus) {
      throw Object.assign(new Error('credentials were refused'), { code: credentialsRefusedCode });
    }
    onControlBytes?.('sent', typeof body === 'string' ? body.length : 0);
    onControlBytes?.('received', text.length);
    return {
      ok: response.statusCode < 400,
      json: () => Promise.resolve(JSON.parse(text) as unknown),
    };
  };
}
