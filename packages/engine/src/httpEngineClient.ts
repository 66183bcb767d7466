/**
 * HTTP client of an engine. Engines repeat no id of the request in their responses, so each call has a connection of its own:
 * a response too many cannot be taken for that of another call. Agent and engine are on one machine, where connections are
 * cheap. To support an engine with another wire format, replace this file and
 * `engineWire.ts`.
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
  /** Timeout of short calls: cancel, holdings, load, cache events, exports. */
  callTimeoutMs?: number;
  prefillTimeoutMs?: number;
  /** Timeout until the response headers of a stream arrive. */
  streamStartTimeoutMs?: number;
  /** A stream that sends no data for longer is ended. */
  streamIdleTimeoutMs?: number;
  /** Loading a model reads its weights, which takes minutes. */
  orderTimeoutMs?: number;
}

/** An engine client that must be closed to release its connections. */
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
  /** Removes the listener on the caller's signal; called when the stream has ended. */
  release: () => void;
}

type EngineResponse = Dispatcher.ResponseData;

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
  const callAbort = createCallAbort(request);
  try {
    const response = await send(pool, request, callAbort.signal);
    const body: unknown = await response.body.json();
    if (response.statusCode !== 200) {
      return err(errorFromBody(response.statusCode, body));
    }
    const parsed = schema.safeParse(body);
    return parsed.success
      ? ok(parsed.data)
      : err({ kind: 'failed', detail: `unexpected answer: ${parsed.error.message}` });
  } catch (cause) {
    return err(callAbort.errorFrom(cause));
  } finally {
    callAbort.release();
  }
}

async function openStream(pool: Pool, request: Call): Promise<Result<OpenedStream, EngineError>> {
  const callAbort = createCallAbort(request);
  try {
    const response = await send(pool, request, callAbort.signal);
    if (response.statusCode !== 200) {
      const body: unknown = await response.body.json();
      callAbort.release();
      return err(errorFromBody(response.statusCode, body));
    }
    callAbort.stopTimer();
    return ok({ body: response.body, release: callAbort.release });
  } catch (cause) {
    callAbort.release();
    return err(callAbort.errorFrom(cause));
  }
}

function send(pool: Pool, request: Call, signal: AbortSignal): Promise<EngineResponse> {
  const { method, path, body } = request;
  return pool.request({
    method,
    path,
    signal,
    // Sends `Connection: close`, and closes the connection once the response has ended.
    reset: true,
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

/** Combines a call's timeout with its caller's signal; `errorFrom` reports which of them aborted the call. */
function createCallAbort(request: Call) {
  const controller = new AbortController();
  const abort = () => controller.abort();
  let hasTimedOut = false;
  const timer = setTimeout(() => {
    hasTimedOut = true;
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
      if (hasTimedOut) {
        return { kind: 'timeout', detail: `no answer in ${request.timeoutMs} ms` };
      }
      return request.signal?.aborted === true ? abortedByCaller : errorFromCause(cause);
    },
  };
}

/** Error codes of failures before a connection was established: the request was certainly not sent. */
const connectErrorCodes: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_DESTROYED',
  'UND_ERR_CLOSED',
];
const timeoutErrorCodes: readonly string[] = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'];

function errorFromCause(cause: unknown): EngineError {
  const code = String((cause as { code?: unknown }).code ?? '');
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (connectErrorCodes.includes(code)) {
    return { kind: 'not-started', detail };
  }
  if (timeoutErrorCodes.includes(code)) {
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
