/** A `fetch` for links of tRPC that reads replies within limits. */
import { createResponseReader, type ResponseReaderOptions } from './responseBody';

export interface BoundedReply {
  ok: boolean;
  headers: Headers;
  text: string;
  json(): Promise<unknown>;
}

export type BoundedFetch = (input: unknown, init?: unknown) => Promise<BoundedReply>;

/** Whole configurations are the longest replies. */
const defaultLimits = { maxBytes: 33_554_432, maxTotalBytes: 50_331_648 } as const;

/** Rejects, and closes the connection, if a reply is longer than the limits. */
export function createBoundedFetch(limits: ResponseReaderOptions = defaultLimits): BoundedFetch {
  const reader = createResponseReader(limits);
  return async (input, init) => {
    const response = await fetch(String(input), init as RequestInit);
    const body = await reader.read(response.body ?? noBody());
    if (body.isErr()) {
      throw body.error.kind === 'too-long' ? new Error(body.error.detail) : body.error.cause;
    }
    const text = body.value.toString();
    const { ok, headers } = response;
    return { ok, headers, text, json: () => Promise.resolve(JSON.parse(text) as unknown) };
  };
}

async function* noBody(): AsyncGenerator<Uint8Array, void, undefined> {
  // A response may have none.
}
