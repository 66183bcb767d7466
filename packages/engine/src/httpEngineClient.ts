/**
 * The engine client over HTTP. Adapting to an engine with another wire format means replacing this
 * file and `engineWire.ts`.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Pool, type Dispatcher } from 'undici';
import type { z } from 'zod';
import type {
  DecodeInput,
  EngineApi,
  EngineChunk,
  EngineError,
  ImportInput,
  ImportProgress,
  PrefillInput,
  ResumeInput,
} from './engineApi';
import {
  cacheEventsReplySchema,
  chunkEventSchema,
  emptyReplySchema,
  enginePaths,
  errorBodySchema,
  holdingsReplySchema,
  importEventSchema,
  loadReplySchema,
  prefillReplySchema,
} from './engineWire';
import { readEventStream } from './eventStream';

export interface HttpEngineClientOptions {
  /** `http://ip:port` of the engine. */
  address: string;
  connectTimeoutMs?: number;
  /** Bound of short calls: cancel, holdings, load, cache events, exports. */
  callTimeoutMs?: number;
  prefillTimeoutMs?: number;
  /** Bound until a stream's answer begins. */
  streamStartTimeoutMs?: number;
  /** A stream that is silent for longer ends. */
  streamIdleTimeoutMs?: number;
  /** Loading a model reads its weights, which takes minutes. */
  orderTimeoutMs?: number;
}

/** An engine client whose connections its owner closes. */
export interface HttpEngineClient extends EngineApi {
  close(): Promise<void>;
}

const defaults = {
  connectTimeoutMs: 1000,
  callTimeoutMs: 2000,
  prefillTimeoutMs: 60_000,
  streamStartTimeoutMs: 5000,
  streamIdleTimeoutMs: 60_000,
  orderTimeoutMs: 600_000,
} as const;

interface Call {
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  timeoutMs: number;
  signal?: AbortSignal;
}

interface OpenedStream {
  body: AsyncIterable<Uint8Array>;
  /** Stops watching the caller's signal; for streams that ended. */
  release: () => void;
}

type Answer = Dispatcher.ResponseData;

export function createHttpEngineClient(options: HttpEngineClientOptions): HttpEngineClient {
  const settings = { ...defaults, ...options };
  const pool = new Pool(settings.address, {
    connect: { timeout: settings.connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: settings.streamIdleTimeoutMs,
    pipelining: 1,
  });

  function call<Schema extends z.ZodType>(
    schema: Schema,
    request: Call,
  ): ResultAsync<z.infer<Schema>, EngineError> {
    return new ResultAsync(callOnce(pool, schema, request));
  }

  function post(path: string, body: unknown, timeoutMs: number = settings.callTimeoutMs) {
    return call(emptyReplySchema, { method: 'POST', path, body, timeoutMs }).map(() => undefined);
  }

  function get<Schema extends z.ZodType>(schema: Schema, path: string) {
    return call(schema, { method: 'GET', path, timeoutMs: settings.callTimeoutMs });
  }

  function stream(path: string, body: DecodeInput | ResumeInput, signal?: AbortSignal) {
    const timeoutMs = settings.streamStartTimeoutMs;
    return new ResultAsync(openStream(pool, { method: 'POST', path, body, timeoutMs, signal })).map(
      readChunks,
    );
  }

  return {
    prefill: (input: PrefillInput, signal) =>
      call(prefillReplySchema, {
        method: 'POST',
        path: enginePaths.prefill,
        body: input,
        timeoutMs: settings.prefillTimeoutMs,
        signal,
      }),
    exportKv: (exportId, action) =>
      post(`${enginePaths.exports}/${encodeURIComponent(exportId)}`, { action }),
    importKv: (input, onProgress, signal) =>
      new ResultAsync(runImport(pool, input, onProgress, settings.streamStartTimeoutMs, signal)),
    decode: (input, signal) => stream(enginePaths.decode, input, signal),
    resume: (input, signal) => stream(enginePaths.resume, input, signal),
    cancel: (attemptId) => post(enginePaths.cancel, { attemptId }),
    streams: () => get(holdingsReplySchema, enginePaths.holdings).map(({ holdings }) => holdings),
    load: () => get(loadReplySchema, enginePaths.load),
    cacheEvents: (sinceSequence) =>
      get(cacheEventsReplySchema, `${enginePaths.cacheEvents}?since=${sinceSequence}`).map(
        ({ events }) => events,
      ),
    order: (order, fencingNumber) =>
      post(enginePaths.orders, { order, fencingNumber }, settings.orderTimeoutMs),
    close: () => pool.destroy(),
  };
}

async function callOnce<Schema extends z.ZodType>(
  pool: Pool,
  schema: Schema,
  request: Call,
): Promise<Result<z.infer<Schema>, EngineError>> {
  const limit = createLimit(request);
  try {
    const answer = await send(pool, request, limit.signal);
    const body: unknown = await answer.body.json();
    if (answer.statusCode !== 200) {
      return err(errorFromBody(answer.statusCode, body));
    }
    const parsed = schema.safeParse(body);
    return parsed.success
      ? ok(parsed.data)
      : err({ kind: 'failed', detail: `unexpected answer: ${parsed.error.message}` });
  } catch (cause) {
    return err(limit.errorFrom(cause));
  } finally {
    limit.release();
  }
}

async function openStream(pool: Pool, request: Call): Promise<Result<OpenedStream, EngineError>> {
  const limit = createLimit(request);
  try {
    const answer = await send(pool, request, limit.signal);
    if (answer.statusCode !== 200) {
      const body: unknown = await answer.body.json();
      limit.release();
      return err(errorFromBody(answer.statusCode, body));
    }
    limit.stopTimer();
    return ok({ body: answer.body, release: limit.release });
  } catch (cause) {
    limit.release();
    return err(limit.errorFrom(cause));
  }
}

function send(pool: Pool, request: Call, signal: AbortSignal): Promise<Answer> {
  const { method, path, body } = request;
  return pool.request({
    method,
    path,
    signal,
    ...(body === undefined
      ? {}
      : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
  });
}

async function* readChunks(opened: OpenedStream): AsyncGenerator<EngineChunk, void, undefined> {
  try {
    yield* readEventStream(opened.body, chunkEventSchema);
  } finally {
    opened.release();
  }
}

async function runImport(
  pool: Pool,
  body: ImportInput,
  onProgress: (progress: ImportProgress) => void,
  timeoutMs: number,
  signal?: AbortSignal,
): Promise<Result<ImportProgress, EngineError>> {
  const path = enginePaths.import;
  const opened = await openStream(pool, { method: 'POST', path, body, timeoutMs, signal });
  if (opened.isErr()) {
    return err(opened.error);
  }
  try {
    return await readImport(opened.value, onProgress, signal);
  } finally {
    opened.value.release();
  }
}

async function readImport(
  opened: OpenedStream,
  onProgress: (progress: ImportProgress) => void,
  signal?: AbortSignal,
): Promise<Result<ImportProgress, EngineError>> {
  for await (const event of readEventStream(opened.body, importEventSchema)) {
    if (event.kind === 'error') {
      return err(event.error);
    }
    const { kind, ...progress } = event;
    onProgress(progress);
    if (progress.done) {
      return ok(progress);
    }
  }
  return err(
    signal?.aborted === true
      ? abortedByCaller
      : { kind: 'died', detail: 'the import ended without its last event' },
  );
}

const abortedByCaller: EngineError = { kind: 'failed', detail: 'aborted by the caller' };

/** Joins a call's timeout and its caller's signal, and tells afterwards which of them struck. */
function createLimit(request: Call) {
  const controller = new AbortController();
  const abort = () => controller.abort();
  let timedOut = false;
  const timer = setTimeout(() => {
    timedOut = true;
    abort();
  }, request.timeoutMs);
  request.signal?.addEventListener('abort', abort);
  if (request.signal?.aborted === true) {
    abort();
  }
  const stopTimer = () => clearTimeout(timer);
  return {
    signal: controller.signal,
    stopTimer,
    release: () => {
      stopTimer();
      request.signal?.removeEventListener('abort', abort);
    },
    errorFrom: (cause: unknown): EngineError => {
      if (timedOut) {
        return { kind: 'timeout', detail: `no answer in ${request.timeoutMs} ms` };
      }
      return request.signal?.aborted === true ? abortedByCaller : errorFromCause(cause);
    },
  };
}

/** Failures before a connection stood: the request certainly was not sent. */
const connectFailures: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_DESTROYED',
  'UND_ERR_CLOSED',
];
const timeoutFailures: readonly string[] = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'];

function errorFromCause(cause: unknown): EngineError {
  const code = String((cause as { code?: unknown }).code ?? '');
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (connectFailures.includes(code)) {
    return { kind: 'not-started', detail };
  }
  if (timeoutFailures.includes(code)) {
    return { kind: 'timeout', detail };
  }
  return { kind: 'died', detail };
}

function errorFromBody(statusCode: number, body: unknown): EngineError {
  const parsed = errorBodySchema.safeParse(body);
  return parsed.success
    ? parsed.data.error
    : { kind: 'failed', detail: `engine answered ${statusCode}` };
}
