/** A `fetch` for trpc links that accepts only replies with a valid seal. */
import { createBoundedFetch } from '@bluebellhitch/ports';
import { innerHeaders } from '@bluebellhitch/protocol';
import type { InnerSecurity } from './innerSecurity';

export function createSealedFetch(security: Pick<InnerSecurity, 'isSealed'>) {
  const send = createBoundedFetch();
  return async (input: unknown, init?: unknown) => {
    const reply = await send(input, init);
    const seal = reply.headers.get(innerHeaders.seal) ?? undefined;
    if (reply.ok && !(await security.isSealed(reply.text, seal))) {
      throw new Error('the reply has no valid seal');
    }
    return reply;
  };
}
