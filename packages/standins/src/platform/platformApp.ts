/** HTTP routes of the stand-in platform: objects and watches, and `/control/*` for faults and instances. */
import type { HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import type { ResultAsync } from 'neverthrow';
import * as z from 'zod';
import {
  objectKindSchema,
  platformInstanceSchema,
  writeBodySchema,
  type PlatformError,
} from '@bluebellhitch/objects';
import { assertNever } from '@bluebellhitch/shared';
import type { StandinPlatform } from './standinPlatform';

interface PlatformEnv {
  Bindings: HttpBindings;
}

const maxWaitMs = 60_000;

const lostResponsesSchema = z.strictObject({
  count: z.number().int().positive(),
  verb: z.enum(['get', 'list', 'create', 'update', 'remove', 'watch', 'instances']).optional(),
  kind: objectKindSchema.optional(),
  key: z.string().optional(),
  effect: z.enum(['applied', 'dropped', 'late']).default('applied'),
  lateMs: z.number().nonnegative().optional(),
});

const versionSchema = z.object({ version: z.coerce.number().int().nonnegative() });
const watchQuerySchema = z.object({
  cursor: z.string(),
  waitMs: z.coerce.number().min(0).max(maxWaitMs),
});

/** `stop` ends waiting watches, so that they do not delay the exit of the process. */
export function createStandinPlatformApp(platform: StandinPlatform, stop: AbortSignal) {
  const app = new Hono<PlatformEnv>();
  addObjectRoutes(app, platform, stop);
  addControlRoutes(app, platform);
  app.onError((error, context) =>
    context.json({ kind: 'rejected', detail: error.message } satisfies PlatformError, 400),
  );
  return app;
}

function addObjectRoutes(app: Hono<PlatformEnv>, platform: StandinPlatform, stop: AbortSignal) {
  app.get('/objects/:kind', (context) => respond(context, platform.list(readKind(context))));
  app.get('/objects/:kind/:key', (context) =>
    respond(context, platform.get(readKind(context), readKey(context))),
  );
  app.post('/objects/:kind/:key', async (context) => {
    const { value } = writeBodySchema.parse(await context.req.json());
    return respond(context, platform.create(readKind(context), readKey(context), value));
  });
  app.put('/objects/:kind/:key', async (context) => {
    const { value } = writeBodySchema.parse(await context.req.json());
    const { version } = versionSchema.parse(context.req.query());
    return respond(context, platform.update(readKind(context), readKey(context), version, value));
  });
  app.delete('/objects/:kind/:key', (context) => {
    const { version } = versionSchema.parse(context.req.query());
    return respond(context, platform.remove(readKind(context), readKey(context), version));
  });
  app.get('/watch/:kind', (context) => {
    const { cursor, waitMs } = watchQuerySchema.parse(context.req.query());
    const signal = AbortSignal.any([context.req.raw.signal, stop]);
    return respond(context, platform.watch(readKind(context), cursor, waitMs, signal));
  });
  app.get('/instances', (context) => respond(context, platform.instances()));
}

function addControlRoutes(app: Hono<PlatformEnv>, { control }: StandinPlatform) {
  const respondDone = (context: Context) => context.json({ done: true });
  app.get('/control/stats', (context) => context.json(control.stats()));
  app.post('/control/stats/reset', (context) => {
    control.resetStats();
    return respondDone(context);
  });
  app.post('/control/outage', async (context) => {
    control.setOutage(z.object({ on: z.boolean() }).parse(await context.req.json()).on);
    return respondDone(context);
  });
  app.post('/control/slow', async (context) => {
    control.setSlow(parseDuration(await context.req.json()));
    return respondDone(context);
  });
  app.post('/control/lose-answers', async (context) => {
    control.loseResponses(lostResponsesSchema.parse(await context.req.json()));
    return respondDone(context);
  });
  app.post('/control/clear-faults', (context) => {
    control.clearFaults();
    return respondDone(context);
  });
  app.post('/control/compact', (context) => {
    control.compact();
    return respondDone(context);
  });
  app.post('/control/instance-lag', async (context) => {
    control.setInstanceLag(parseDuration(await context.req.json()));
    return respondDone(context);
  });
  app.put('/control/instances/:id', async (context) => {
    const body: unknown = await context.req.json();
    const id = z.string().parse(context.req.param('id'));
    control.putInstance(platformInstanceSchema.parse({ ...Object(body), id }));
    return respondDone(context);
  });
  app.post('/control/instances/:id/leaving', (context) => {
    control.markLeaving(context.req.param('id'));
    return respondDone(context);
  });
  app.delete('/control/instances/:id', (context) => {
    control.removeInstance(context.req.param('id'));
    return respondDone(context);
  });
}

async function respond<Value>(
  context: Context<PlatformEnv>,
  result: ResultAsync<Value, PlatformError>,
): Promise<Response> {
  return result.match(
    (value) => (value === undefined ? context.body(null, 204) : context.json(value as object)),
    (error) => respondWithError(context, error),
  );
}

function respondWithError(context: Context<PlatformEnv>, error: PlatformError): Response {
  switch (error.kind) {
    case 'conflict':
      return context.json(error, 409);
    case 'not-found':
      return context.json(error, 404);
    case 'rate-limited':
      return context.json(error, 429);
    case 'rejected':
      return context.json(error, 400);
    case 'unavailable':
      return error.detail === 'answer lost' ? abortConnection(context) : context.json(error, 503);
    case 'unknown-outcome':
      return abortConnection(context);
    default:
      return assertNever(error);
  }
}

/** The caller's connection is destroyed, so that it cannot know whether its call took effect. */
function abortConnection(context: Context<PlatformEnv>): Response {
  context.env.outgoing.destroy();
  return context.body(null, 503);
}

function readKind(context: Context) {
  return objectKindSchema.parse(context.req.param('kind'));
}

function readKey(context: Context): string {
  return z.string().min(1).parse(context.req.param('key'));
}

function parseDuration(body: unknown): number {
  return z.object({ durationMs: z.number().nonnegative() }).parse(body).durationMs;
}
