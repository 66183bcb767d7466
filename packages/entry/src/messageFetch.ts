/** Transport of tRPC messages over undici's `request`, which has less overhead than its `fetch`. */
import { request as sendRequest, type Dispatcher } from 'undici';

/** Error code for refused credentials, in which case the other process did not act on the call. */
export const credentialsRefusedCode = 'ERR_CREDENTIALS_REFUSED';

const unauthorizedStatus = 401;

export type ControlBytesListener = (direction: 'sent' | 'received', byteCount: number) => void;

/** Creates a `fetch` for tRPC links; `onControlBytes` receives the size of each message and reply. */
export function createMessageFetch(dispatcher: Dispatcher, onControlBytes?: ControlBytesListener) {
  return async (input: unknown, init?: unknown) => {
    const { method, headers, body, signal } = (init ?? {}) as RequestInit;
    const response = await sendRequest(String(input), {
      dispatcher,
      method: method ?? 'GET',
      headers: headers as Record<string, string>,
      body: body as string | undefined,
      signal: signal ?? undefined,
    });
    const text = await response.body.text();
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
