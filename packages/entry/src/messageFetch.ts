/** The transport of trpc messages: undici's plain request, which costs less than its full `fetch`. */
import { request as sendRequest, type Dispatcher } from 'undici';

/** Code of the error where the other process refused the credentials: nothing ran there. */
export const credentialsRefusedCode = 'ERR_CREDENTIALS_REFUSED';

const unauthorizedStatus = 401;

export type ControlBytesListener = (direction: 'sent' | 'received', byteCount: number) => void;

/** A `fetch` for trpc links. */
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
