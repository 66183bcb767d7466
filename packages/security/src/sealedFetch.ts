/** A `fetch` for trpc links that accepts only replies with a valid seal. */
import { innerHeaders } from '@bluebellhitch/protocol';
import type { InnerSecurity } from './innerSecurity';

export function createSealedFetch(security: Pick<InnerSecurity, 'isSealed'>) {
  return async (input: unknown, init?: unknown) => {
    const response = await fetch(String(input), init as RequestInit);
    const text = await response.text();
    const seal = response.headers.get(innerHeaders.seal) ?? undefined;
    if (response.ok && !(await security.isSealed(text, seal))) {
      throw new Error('the reply has no valid seal');
    }
    return { ok: response.ok, json: () => Promise.resolve(JSON.parse(text) as unknown) };
  };
}
