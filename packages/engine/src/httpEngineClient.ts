/**
 * HTTP client of an engine. Engines repeat no id of the request in their responses, so each call has a connection of its own:
 * a response too many cannot be taken for that of another call. Agent and engine are on one machine, where connections are
 * cheap. To support an engine with another wire format, replace this file, `engineTransport.ts` and `engineWire.ts`.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type { z } from 'zod';
import { createBoundedClient, createResponseReader } from '@bluebellhitch/ports';
import { abortedByCaller } from './callErrors';
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
  holdingsReplySchema,
  importEventSchema,
  loadReplySchema,
  prefillReplySchema,
} from './engineWire';
import {
  callOnce,
  openStream,
  type EngineCall,
  type EngineTransport,
  type OpenedStream,
} from './engineTransport';
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
  /** Longest answer of a call. A longer one is given up as failed. */
  maxReplyBytes?: number;
  /** Longest list of holdings or cache events, which grow with the engine's memory. */
  maxListBytes?: number;
  /** For all answers that are being read at the same time. */
  maxTotalBytes?: number;
  /** Longest event of a stream. A longer one ends the stream. */
  maxEventBytes?: number;
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
  maxReplyBytes: 1_048_576,
  maxListBytes: 16_777_216,
  maxTotalBytes: 33_554_432,
  maxEventBytes: 65_536,
} as const;

export function createHttpEngineClient(options: HttpEngineClientOptions): HttpEngineClient {
  const settings = { ...defaults, ...options };
  const pool = new Pool(settings.address, {
    connect: { timeout: settings.connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: settings.streamIdleTimeoutMs,
    pipelining: 1,
    factory: createBoundedClient,
  });
  const { maxReplyBytes, maxListBytes, maxTotalBytes, maxEventBytes } = settings;
  const reader = createResponseReader({ maxBytes: maxReplyBytes, maxTotalBytes });
  const transport: EngineTransport = { pool, reader, maxEventBytes };

  function call<Schema extends z.ZodType>(
    schema: Schema,
    request: EngineCall,
  ): ResultAsync<z.infer<Schema>, EngineError> {
    return new ResultAsync(callOnce(transport, schema, request));
  }

  function post(path: string, body: unknown, timeoutMs: number = settings.callTimeoutMs) {
    return call(emptyReplySchema, { method: 'POST', path, body, timeoutMs }).map(() => undefined);
  }

  function get<Schema extends z.ZodType>(schema: Schema, path: string, maxBytes?: number) {
    return call(schema, { method: 'GET', path, timeoutMs: settings.callTimeoutMs, maxBytes });
  }

  function stream(path: string, body: DecodeInput | ResumeInput, signal?: AbortSignal) {
    const timeoutMs = settings.streamStartTimeoutMs;
    return new ResultAsync(
      openStream(transport, { method: 'POST', path, body, timeoutMs, signal }),
    ).map(readChunks);
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
      new ResultAsync(
        runImport(transport, input, onProgress, settings.streamStartTimeoutMs, signal),
      ),
    decode: (input, signal) => stream(enginePaths.decode, input, signal),
    resume: (input, signal) => stream(enginePaths.resume, input, signal),
    cancel: (attemptId) => post(enginePaths.cancel, { attemptId }),
    streams: () =>
      get(holdingsReplySchema, enginePaths.holdings, maxListBytes).map(({ holdings }) => holdings),
    load: () => get(loadReplySchema, enginePaths.load),
    cacheEvents: (sinceSequence) =>
      get(
        cacheEventsReplySchema,
        `${enginePaths.cacheEvents}?since=${sinceSequence}`,
        maxListBytes,
      ).map(({ events }) => events),
    order: (order, fencingNumber) =>
      post(enginePaths.orders, { order, fencingNumber }, settings.orderTimeoutMs),
    close: () => pool.destroy(),
  };
}

async function* readChunks(opened: OpenedStream): AsyncGenerator<EngineChunk, void, undefined> {
  try {
    yield* readEventStream(opened.body, chunkEventSchema, opened);
  } finally {
    opened.release();
  }
}

async function runImport(
  transport: EngineTransport,
  body: ImportInput,
  onProgress: (progress: ImportProgress) => void,
  timeoutMs: number,
  signal?: AbortSignal,
): Promise<Result<ImportProgress, EngineError>> {
  const path = enginePaths.import;
  const opened = await openStream(transport, { method: 'POST', path, body, timeoutMs, signal });
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
  for await (const event of readEventStream(opened.body, importEventSchema, opened)) {
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
