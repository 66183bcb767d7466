/** Sends calls to an engine over HTTP, and reads their answers within limits. */
import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher, Pool } from 'undici';
import type { z } from 'zod';
import type { ResponseReader } from '@bluebellhitch/ports';
import { createCallAbort, errorFromBody, errorFromReading, type CallLimits } from './callErrors';
import type { EngineError } from './engineApi';

export interface EngineCall extends CallLimits {
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  /** The client's `maxReplyBytes` if absent. */
  maxBytes?: number;
}

/** What all calls of a client share. */
export interface EngineTransport {
  pool: Pool;
  reader: ResponseReader;
  maxEventBytes: number;
}

export interface OpenedStream {
  body: AsyncIterable<Uint8Array>;
  maxEventBytes: number;
  /** Removes the listener on the caller's signal; called when the stream has ended. */
  release: () => void;
}

type EngineResponse = Dispatcher.ResponseData;

export async function callOnce<Schema extends z.ZodType>(
  transport: EngineTransport,
  schema: Schema,
  request: EngineCall,
): Promise<Result<z.infer<Schema>, EngineError>> {
  const callAbort = createCallAbort(request);
  try {
    const response = await send(transport.pool, request, callAbort.signal);
    const text = await transport.reader.read(response.body, request.maxBytes);
    if (text.isErr()) {
      return err(errorFromReading(text.error, callAbort));
    }
    const body = parseBody(text.value);
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

export async function openStream(
  { pool, reader, maxEventBytes }: EngineTransport,
  request: EngineCall,
): Promise<Result<OpenedStream, EngineError>> {
  const callAbort = createCallAbort(request);
  try {
    const response = await send(pool, request, callAbort.signal);
    if (response.statusCode !== 200) {
      const text = await reader.read(response.body);
      callAbort.release();
      return err(
        text.match(
          (bytes) => errorFromBody(response.statusCode, parseBody(bytes)),
          (error) => errorFromReading(error, callAbort),
        ),
      );
    }
    callAbort.stopTimer();
    return ok({ body: response.body, maxEventBytes, release: callAbort.release });
  } catch (cause) {
    callAbort.release();
    return err(callAbort.errorFrom(cause));
  }
}

function send(pool: Pool, request: EngineCall, signal: AbortSignal): Promise<EngineResponse> {
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

/** Throws if the body is no JSON. */
function parseBody(body: Buffer): unknown {
  return JSON.parse(body.toString());
}
