/** HTTP interface of the stand-in engine, in the wire format of `engineWire.ts`. */
import { Hono, type Context } from 'hono';
import type { Result, ResultAsync } from 'neverthrow';
import type { z } from 'zod';
import {
  cancelBodySchema,
  decodeBodySchema,
  engineErrorStatus,
  enginePaths,
  exportBodySchema,
  importBodySchema,
  orderBodySchema,
  prefillBodySchema,
  resumeBodySchema,
  type EngineChunk,
  type EngineError,
  type ImportEvent,
  type KvEvent,
} from '@bluebellhitch/engine';
import {
  abortConnection,
  disconnectSignal,
  listen,
  sendEvents,
  type ListenOptions,
  type NodeEnvironment,
  type StandinServer,
} from '../httpServer';
import { createChunkQueue } from './chunkQueue';
import { engineControlSchema } from './engineControl';
import type { KvTransfer, StandinEngineOptions } from './engineOptions';
import { createHttpKvPeer } from './httpKvPeer';
import { createStandinEngine, type StandinEngine } from './standinEngine';

export interface StandinEngineServerOptions extends ListenOptions, StandinEngineOptions {
  /** The engine to serve; if absent, one is created from the other options. */
  engine?: StandinEngine;
}

export interface StandinEngineServer extends StandinServer {
  engine: StandinEngine;
}

type EngineContext = Context<NodeEnvironment>;

/** Serves an engine until the server is closed or the engine crashes, which destroys all connections. */
export async function createStandinEngineServer(
  options: StandinEngineServerOptions = {},
): Promise<StandinEngineServer> {
  const { host, port, engine: suppliedEngine, ...engineOptions } = options;
  const engine =
    suppliedEngine ?? createStandinEngine({ connectPeer: createHttpKvPeer, ...engineOptions });
  const server = await listen(createEngineApp(engine), { host, port });
  engine.crashed.then(server.destroy, () => undefined);
  return { ...server, engine };
}

function createEngineApp(engine: StandinEngine): Hono<NodeEnvironment> {
  const app = new Hono<NodeEnvironment>();
  addWorkRoutes(app, engine);
  addTransferRoutes(app, engine);
  addStateRoutes(app, engine);
  app.post('/control', (context) =>
    withBody(context, engineControlSchema, (change) => {
      engine.control(change);
      return context.json({});
    }),
  );
  app.get('/stats', (context) => context.json(engine.stats()));
  return app;
}

function addWorkRoutes(app: Hono<NodeEnvironment>, engine: StandinEngine): void {
  app.post(enginePaths.prefill, (context) =>
    withBody(context, prefillBodySchema, (input) =>
      respond(context, engine.prefill(input, disconnectSignal(context))),
    ),
  );
  app.post(enginePaths.decode, (context) =>
    withBody(context, decodeBodySchema, (input) =>
      respondWithStream(context, engine.decode(input, disconnectSignal(context))),
    ),
  );
  app.post(enginePaths.resume, (context) =>
    withBody(context, resumeBodySchema, (input) =>
      respondWithStream(context, engine.resume(input, disconnectSignal(context))),
    ),
  );
  app.post(enginePaths.cancel, (context) =>
    withBody(context, cancelBodySchema, ({ attemptId }) =>
      respond(context, engine.cancel(attemptId)),
    ),
  );
}

function addTransferRoutes(app: Hono<NodeEnvironment>, engine: StandinEngine): void {
  app.post(`${enginePaths.exports}/:exportId`, (context) =>
    withBody(context, exportBodySchema, ({ action }) =>
      respond(context, engine.exportKv(context.req.param('exportId'), action)),
    ),
  );
  app.post(enginePaths.import, (context) =>
    withBody(context, importBodySchema, (input) => {
      const events = createChunkQueue<ImportEvent>();
      const onProgress = (progress: { receivedBytes: number; totalBytes: number; done: boolean }) =>
        events.push({ kind: 'progress', ...progress });
      engine
        .importKv(input, onProgress, disconnectSignal(context))
        .mapErr((error) => events.push({ kind: 'error', error }))
        .then(events.end, events.end);
      return sendEvents(context, events);
    }),
  );
  app.get(`${enginePaths.kv}/:exportId`, async (context) => {
    const rateBytesPerSecond = Number(context.req.query('rate')) || Number.MAX_SAFE_INTEGER;
    const exportId = context.req.param('exportId');
    const opened = await engine.openExport(exportId, rateBytesPerSecond, disconnectSignal(context));
    return opened.match(
      (transfer) => sendEvents(context, kvEvents(transfer)),
      (error) => respondWithError(context, error),
    );
  });
}

function addStateRoutes(app: Hono<NodeEnvironment>, engine: StandinEngine): void {
  app.get(enginePaths.holdings, (context) =>
    respond(
      context,
      engine.streams().map((holdings) => ({ holdings })),
    ),
  );
  app.get(enginePaths.load, (context) => respond(context, engine.load()));
  app.get(enginePaths.cacheEvents, (context) => {
    const sinceSequence = Number(context.req.query('since') ?? 0);
    return respond(
      context,
      engine.cacheEvents(sinceSequence).map((events) => ({ events })),
    );
  });
  app.post(enginePaths.orders, (context) =>
    withBody(context, orderBodySchema, ({ order, fencingNumber }) =>
      respond(context, engine.order(order, fencingNumber)),
    ),
  );
}

async function withBody<Schema extends z.ZodType>(
  context: EngineContext,
  schema: Schema,
  handle: (body: z.infer<Schema>) => Response | Promise<Response>,
): Promise<Response> {
  const body: unknown = await context.req.json().catch(() => undefined);
  const parsed = schema.safeParse(body);
  return parsed.success
    ? handle(parsed.data)
    : context.json({ error: { kind: 'failed', detail: parsed.error.message } }, 400);
}

async function respond<Value>(
  context: EngineContext,
  result: ResultAsync<Value, EngineError>,
): Promise<Response> {
  const settled: Result<Value, EngineError> = await result;
  return settled.match(
    (value) => context.json(value ?? {}),
    (error) => respondWithError(context, error),
  );
}

async function respondWithStream(
  context: EngineContext,
  result: ResultAsync<AsyncIterable<EngineChunk>, EngineError>,
): Promise<Response> {
  return (await result).match(
    (chunks) => {
      let isComplete = false;
      return sendEvents(
        context,
        watchForEnd(chunks, () => {
          isComplete = true;
        }),
        () => isComplete,
      );
    },
    (error) => respondWithError(context, error),
  );
}

/** An engine that has crashed cannot respond: its connection is destroyed instead. */
function respondWithError(context: EngineContext, error: EngineError): Response {
  return error.kind === 'died'
    ? abortConnection(context)
    : context.json({ error }, engineErrorStatus[error.kind]);
}

async function* watchForEnd(
  chunks: AsyncIterable<EngineChunk>,
  onEnd: () => void,
): AsyncGenerator<EngineChunk, void, undefined> {
  for await (const chunk of chunks) {
    yield chunk;
    if (chunk.kind === 'end') {
      onEnd();
    }
  }
}

async function* kvEvents(transfer: KvTransfer): AsyncGenerator<KvEvent, void, undefined> {
  const { totalBytes, promptTokens } = transfer;
  yield { kind: 'open', totalBytes, promptTokens };
  for await (const bytes of transfer.pieces) {
    yield { kind: 'bytes', bytes };
  }
}
