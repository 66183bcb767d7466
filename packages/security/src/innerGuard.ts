/** Middleware of inner ports: refuses calls without valid credentials and seals replies. */
import type { MiddlewareHandler } from 'hono';
import { agentRefusalReasons, innerHeaders, innerPaths } from '@bluebellhitch/protocol';
import type { InnerAudience, InnerSecurity } from './innerSecurity';

export interface InnerGuardOptions {
  security: Pick<InnerSecurity, 'accepts'>;
  /** The audience whose tokens give access to a path. */
  audienceOf(path: string): InnerAudience;
  /** Called for each refused call. */
  onRefused?: () => void;
}

const refusal = {
  kind: 'refused',
  reason: agentRefusalReasons.notReady,
  notRun: true,
  detail: 'the inner protocol asks for valid credentials',
} as const;

/**
 * Responds with 401 before the body is read. The response carries the headers by which entries recognise that
 * nothing ran, so that an entry with a wrong key does not take it for a response of the backend server.
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

/** Adds a seal to each reply, which requires reading its complete text. */
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

/** On plain calls `Authorization` belongs to the caller and is forwarded to the backend server. */
function credentialsHeader(path: string): string {
  const isPlain = path === innerPaths.plain || path.startsWith(`${innerPaths.plain}/`);
  return isPlain ? innerHeaders.authorization : 'authorization';
}
