/**
 * Client of the platform's HTTP interface. Its errors distinguish calls that certainly had no effect
 * from calls that may have had one, because at-most-once claims and leases depend on the difference.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import {
  createBoundedAgent,
  createResponseReader,
  type ResponseBodyError,
  type ResponseReader,
} from '@bluebellhitch/ports';
import {
  objectListSchema,
  platformErrorSchema,
  platformInstancesSchema,
  platformPaths,
  storedObjectSchema,
  watchReplySchema,
} from './httpPlatformSchema';
import { unusableResponseError, lostResponseError, parseJson } from './callFailures';
import type { PlatformApi, PlatformError } from './platformApi';

export interface HttpPlatformClientOptions {
  /** `http://ip:port`. */
  address: string;
  /** Maximum wait for a response; a watch may take longer by its own `waitMs`. */
  timeoutMs?: number;
  connectTimeoutMs?: number;
  /** Maximum number of connections; each pending watch occupies one. */
  connections?: number;
  /** Longest answer; lists are the longest ones. A longer one cannot be used, and closes its connection. */
  maxBodyBytes?: number;
  /** For all answers that are being read at the same time. */
  maxTotalBytes?: number;
}

export interface HttpPlatformClient extends PlatformApi {
  /** Closes all connections; calls in progress fail. */
  close(): Promise<void>;
}

interface HttpCall<Value> {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  query?: Record<string, string | number>;
  body?: unknown;
  schema: z.ZodType<Value>;
  timeoutMs: number;
  signal?: AbortSignal;
}

interface Transport {
  address: string;
  dispatcher: Dispatcher;
  reader: ResponseReader;
}

const defaults = {
  ...{ timeoutMs: 2000, connectTimeoutMs: 1000, connections: 64 },
  ...{ maxBodyBytes: 33_554_432, maxTotalBytes: 50_331_648 },
} as const;
const noContentStatus = 204;

export function createHttpPlatformClient(options: HttpPlatformClientOptions): HttpPlatformClient {
  const settings = { ...defaults, ...options };
  const { address, timeoutMs, connectTimeoutMs, connections } = settings;
  const dispatcher = createBoundedAgent({
    connections,
    connect: { timeout: connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const { maxBodyBytes: maxBytes, maxTotalBytes } = settings;
  const reader = createResponseReader({ maxBytes, maxTotalBytes });

  function call<Value>(
    callOptions: Omit<HttpCall<Value>, 'timeoutMs'> & { timeoutMs?: number },
  ): ResultAsync<Value, PlatformError> {
    return new ResultAsync(send({ address, dispatcher, reader }, { timeoutMs, ...callOptions }));
  }

  return {
    get: (kind, key) =>
      call({ method: 'GET', path: platformPaths.object(kind, key), schema: storedObjectSchema }),
    list: (kind) =>
      call({ method: 'GET', path: platformPaths.objects(kind), schema: objectListSchema }),
    create: (kind, key, value) =>
      call({
        method: 'POST',
        path: platformPaths.object(kind, key),
        body: { value },
        schema: storedObjectSchema,
      }),
    update: (kind, key, version, value) =>
      call({
        method: 'PUT',
        path: platformPaths.object(kind, key),
        query: { version },
        body: { value },
        schema: storedObjectSchema,
      }),
    remove: (kind, key, version) =>
      call({
        method: 'DELETE',
        path: platformPaths.object(kind, key),
        query: { version },
        schema: z.undefined(),
      }),
    watch: (kind, cursor, waitMs, signal) =>
      call({
        method: 'GET',
        path: platformPaths.watch(kind),
        query: { cursor, waitMs },
        schema: watchReplySchema,
        timeoutMs: timeoutMs + waitMs,
        signal,
      }),
    instances: () =>
      call({ method: 'GET', path: platformPaths.instances, schema: platformInstancesSchema }),
    close: () => dispatcher.destroy(),
  };
}

async function send<Value>(
  { address, dispatcher, reader }: Transport,
  call: HttpCall<Value>,
): Promise<Result<Value, PlatformError>> {
  const timeout = AbortSignal.timeout(Math.ceil(call.timeoutMs));
  try {
    const response = await request(new URL(call.path, address), {
      dispatcher,
      method: call.method,
      query: call.query,
      headers: { 'content-type': 'application/json' },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      signal: call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]),
    });
    const body = await reader.read(response.body);
    return body.isOk()
      ? readResponse(call, response.statusCode, body.value.toString())
      : err(readingError(call.method, body.error));
  } catch (cause) {
    return err(lostResponseError(call.method, cause));
  }
}

function readingError(method: string, error: ResponseBodyError): PlatformError {
  return error.kind === 'too-long'
    ? unusableResponseError(method, error.detail)
    : lostResponseError(method, error.cause);
}

function readResponse<Value>(
  call: HttpCall<Value>,
  status: number,
  text: string,
): Result<Value, PlatformError> {
  const body = status === noContentStatus ? undefined : parseJson(text);
  if (status >= 200 && status < 300) {
    const parsed = call.schema.safeParse(body);
    return parsed.success
      ? ok(parsed.data)
      : err(unusableResponseError(call.method, 'unreadable answer'));
  }
  const failure = platformErrorSchema.safeParse(body);
  return err(
    failure.success ? failure.data : unusableResponseError(call.method, `status ${status}`),
  );
}
