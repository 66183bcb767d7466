/** Stands before every path of an inner port and refuses calls without valid credentials. */
import type { MiddlewareHandler } from 'hono';
import { agentRefusalReasons, innerHeaders, innerPaths } from '@bluebellhitch/protocol';
import type { InnerAudience, InnerSecurity } from './innerSecurity';

export interface InnerGuardOptions {
  security: Pick<InnerSecurity, 'accepts'>;
  /** The audience whose tokens open a path. */
  audienceOf(path: string): InnerAudience;
  /** Told of each refused call. */
  onRefused?: () => void;
}

const refusal = {
  kind: 'refused',
  reason: agentRefusalReasons.notReady,
  notRun: true,
  detail: 'the inner protocol asks for valid credentials',
} as const;

/**
 * Answers 401 before a body is read. The answer says that nothing ran in the form that entries read, so
 * that an entry whose key is wrong does not take it for an answer of the backend server.
 */
export function createInnerGuard(options: InnerGuardOptions): MiddlewareHandler {
  const { security, audienceOf, onRefused } = options;
  return async (context, next) => {
    const { path } = context.req;
    const bearer = context.req.header(credentialsHeader(path));
    if (await security.accepts(bearer, audienceOf(path))) {
      return next();
    }
    onRefused?.();
    return context.json(refusal, 401, {
      'www-authenticate': 'Bearer',
      [innerHeaders.refusal]: refusal.reason,
      [innerHeaders.notRun]: 'true',
    });
  };
}

/** Puts a seal on each reply, whose text is read whole for that. */
export function createReplySealer(security: Pick<InnerSecurity, 'seal'>): MiddlewareHandler {
  return async (context, next) => {
    await next();
    const text = await context.res.clone().text();
    const seal = await security.seal(text);
    if (seal !== undefined) {
      context.res.headers.set(innerHeaders.seal, seal);
    }
  };
}

/** A plain call's `Authorization` is its caller's and goes on to the backend server. */
function credentialsHeader(path: string): string {
  const isPlain = path === innerPaths.plain || path.startsWith(`${innerPaths.plain}/`);
  return isPlain ? innerHeaders.authorization : 'authorization';
}
