/** HTTP layer of the stand-in platform: the objects, and `/control/*` for faults and instances. */
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

const longestWaitMs = 60_000;

const lostAnswersSchema = z.strictObject({
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
  waitMs: z.coerce.number().min(0).max(longestWaitMs),
});

/** `stop` ends the watches that wait, so that they do not hold up an exit. */
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
  app.get('/objects/:kind', (context) => answer(context, platform.list(kindOf(context))));
  app.get('/objects/:kind/:key', (context) =>
    answer(context, platform.get(kindOf(context), keyOf(context))),
  );
  app.post('/objects/:kind/:key', async (context) => {
    const { value } = writeBodySchema.parse(await context.req.json());
    return answer(context, platform.create(kindOf(context), keyOf(context), value));
  });
  app.put('/objects/:kind/:key', async (context) => {
    const { value } = writeBodySchema.parse(await context.req.json());
    const { version } = versionSchema.parse(context.req.query());
    return answer(context, platform.update(kindOf(context), keyOf(context), version, value));
  });
  app.delete('/objects/:kind/:key', (context) => {
    const { version } = versionSchema.parse(context.req.query());
    return answer(context, platform.remove(kindOf(context), keyOf(context), version));
  });
  app.get('/watch/:kind', (context) => {
    const { cursor, waitMs } = watchQuerySchema.parse(context.req.query());
    const signal = AbortSignal.any([context.req.raw.signal, stop]);
    return answer(context, platform.watch(kindOf(context), cursor, waitMs, signal));
  });
  app.get('/instances', (context) => answer(context, platform.instances()));
}

function addControlRoutes(app: Hono<PlatformEnv>, { control }: StandinPlatform) {
  const done = (context: Context) => context.json({ done: true });
  app.get('/control/stats', (context) => context.json(control.stats()));
  app.post('/control/stats/reset', (context) => {
    control.resetStats();
    return done(context);
  });
  app.post('/control/outage', async (context) => {
    control.setOutage(z.object({ on: z.boolean() }).parse(await context.req.json()).on);
    return done(context);
  });
  app.post('/control/slow', async (context) => {
    control.setSlow(parseDuration(await context.req.json()));
    return done(context);
  });
  app.post('/control/lose-answers', async (context) => {
    control.loseAnswers(lostAnswersSchema.parse(await context.req.json()));
    return done(context);
  });
  app.post('/control/clear-faults', (context) => {
    control.clearFaults();
    return done(context);
  });
  app.post('/control/compact', (context) => {
    control.compact();
    return done(context);
  });
  app.post('/control/instance-lag', async (context) => {
    control.setInstanceLag(parseDuration(await context.req.json()));
    return done(context);
  });
  app.put('/control/instances/:id', async (context) => {
    const body: unknown = await context.req.json();
    const id = z.string().parse(context.req.param('id'));
    control.putInstance(platformInstanceSchema.parse({ ...Object(body), id }));
    return done(context);
  });
  app.post('/control/instances/:id/leaving', (context) => {
    control.markLeaving(context.req.param('id'));
    return done(context);
  });
  app.delete('/control/instances/:id', (context) => {
    control.removeInstance(context.req.param('id'));
    return done(context);
  });
}

async function answer<Value>(
  context: Context<PlatformEnv>,
  result: ResultAsync<Value, PlatformError>,
): Promise<Response> {
  return result.match(
    (value) => (value === undefined ? context.body(null, 204) : context.json(value as object)),
    (error) => answerError(context, error),
  );
}

function answerError(context: Context<PlatformEnv>, error: PlatformError): Response {
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
      return error.detail === 'answer lost' ? dropConnection(context) : context.json(error, 503);
    case 'unknown-outcome':
      return dropConnection(context);
    default:
      return assertNever(error);
  }
}

/** The caller sees its connection break and cannot tell whether its call took effect. */
function dropConnection(context: Context<PlatformEnv>): Response {
  context.env.outgoing.destroy();
  return context.body(null, 503);
}

function kindOf(context: Context) {
  return objectKindSchema.parse(context.req.param('kind'));
}

function keyOf(context: Context): string {
  return z.string().min(1).parse(context.req.param('key'));
}

function parseDuration(body: unknown): number {
  return z.object({ durationMs: z.number().nonnegative() }).parse(body).durationMs;
}
