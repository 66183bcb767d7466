/** `AgentApi` over the inner protocol: tRPC for messages, HTTP for streams and plain calls. */
import { createTRPCClient, httpLink, splitLink, type TRPCClient } from '@trpc/client';
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';
import type { Readable } from 'node:stream';
import { request as sendRequest, type Dispatcher } from 'undici';
import type { z } from 'zod';
import {
  agentRefusalSchema,
  bidSchema,
  heartbeatReplySchema,
  innerHeaders,
  innerPaths,
  loadHintSchema,
  prefillReplySchema,
  reserveReplySchema,
  type AgentRouter,
  type LoadHint,
  type StreamFrame,
  type StreamRequest,
} from '@bluebellhitch/protocol';
import { createBoundedAgent } from '@bluebellhitch/ports';
import { credentialHeaders, innerAudiences, type InnerCredentials } from '@bluebellhitch/security';
import { isConnectError } from '@bluebellhitch/shared';
import type {
  AgentApi,
  AgentCallError,
  AgentCallOptions,
  PlainResponse,
  PlainCall,
  StreamOpenError,
} from './agentApi';
import { readFrames } from './agentEventStream';
import {
  createMessageFetch,
  credentialsRefusedCode,
  type ControlBytesListener,
} from './messageFetch';
import { parsePlainRefusal } from './plainRefusal';

export interface HttpAgentClientOptions {
  /** Without credentials, agents that require them refuse every call. */
  credentials?: InnerCredentials;
  connectTimeoutMs?: number;
  /** Limit of cached tRPC clients, one for each agent; the least recently used one is evicted. */
  maxClients?: number;
  onMalformedFrame?: () => void;
  /** Called with the size of each heartbeat message and its reply. */
  onControlBytes?: ControlBytesListener;
}

export interface HttpAgentClient extends AgentApi {
  close(): Promise<void>;
}

type RouterClient = TRPCClient<AgentRouter>;
type ResponseHeaders = PlainResponse['headers'];

/** Procedures that are called periodically rather than on behalf of a request. */
const controlProcedures: readonly string[] = ['heartbeat'];
const keepAliveMs = 10_000;
const maxRefusalBytes = 64 * 1024;
/** Beside failures to connect: the agent did not receive the request, or did not act on it. */
const notSentCodes: readonly string[] = [
  'ENOTFOUND',
  // The address in the list is none.
  'ERR_INVALID_URL',
  'UND_ERR_INVALID_ARG',
  credentialsRefusedCode,
];

/** Creates the client through which an entry calls its agents. */
export function createHttpAgentClient(options: HttpAgentClientOptions = {}): HttpAgentClient {
  const { connectTimeoutMs = 1_000, maxClients = 256, onMalformedFrame, onControlBytes } = options;
  const dispatcher = createBoundedAgent({
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: keepAliveMs,
    pipelining: 1,
    ...{ bodyTimeout: 0, headersTimeout: 0 },
  });
  const fetchMessage = createMessageFetch(dispatcher);
  const fetchControl = createMessageFetch(dispatcher, onControlBytes);
  const headers = credentialHeaders(options.credentials, innerAudiences.agent);
  const transport = { dispatcher, headers };
  const clients = new Map<string, RouterClient>();

  function getClient(address: string): RouterClient {
    const url = `${address}${innerPaths.trpc}`;
    const client =
      clients.get(address) ??
      createTRPCClient<AgentRouter>({
        links: [
          splitLink({
            condition: ({ path }) => controlProcedures.includes(path),
            true: httpLink({ url, headers, fetch: fetchControl }),
            false: httpLink({ url, headers, fetch: fetchMessage }),
          }),
        ],
      });
    clients.delete(address);
    clients.set(address, client);
    if (clients.size > maxClients) {
      clients.delete(clients.keys().next().value as string);
    }
    return client;
  }

  function call<Schema extends z.ZodType>(
    schema: Schema,
    callOptions: AgentCallOptions,
    send: (signal: AbortSignal) => Promise<unknown>,
  ): ResultAsync<z.infer<Schema>, AgentCallError> {
    const signal = combineSignals(callOptions);
    return ResultAsync.fromPromise(send(signal), (error) =>
      toCallError(error, callOptions.signal),
    ).andThen((reply) => checkReply(schema, reply));
  }

  return {
    bid: (address, request, callOptions) =>
      call(bidSchema, callOptions, (signal) => getClient(address).bid.mutate(request, { signal })),
    reserve: (address, request, callOptions) =>
      call(reserveReplySchema, callOptions, (signal) =>
        getClient(address).reserve.mutate(request, { signal }),
      ),
    prefill: (address, request, callOptions) =>
      call(prefillReplySchema, callOptions, (signal) =>
        getClient(address).prefill.mutate(request, { signal }),
      ),
    cancel: (address, reference, callOptions) =>
      ResultAsync.fromPromise(
        getClient(address).cancel.mutate(reference, { signal: combineSignals(callOptions) }),
        (error) => toCallError(error, callOptions.signal),
      ).map(() => undefined),
    heartbeat: (address, heartbeat, callOptions) =>
      call(heartbeatReplySchema, callOptions, (signal) =>
        getClient(address).heartbeat.mutate(heartbeat, { signal }),
      ),
    openStream: (address, request, callOptions) =>
      openStream(transport, address, request, callOptions, onMalformedFrame ?? (() => undefined)),
    plain: (address, plainCall) => sendPlain(transport, address, plainCall),
    close: () => dispatcher.destroy(),
  };
}

function combineSignals(options: AgentCallOptions): AbortSignal {
  const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(options.timeoutMs)));
  return options.signal === undefined ? timeout : AbortSignal.any([options.signal, timeout]);
}

function checkReply<Schema extends z.ZodType>(
  schema: Schema,
  reply: unknown,
): Result<z.infer<Schema>, AgentCallError> {
  const parsed = schema.safeParse(reply);
  return parsed.success
    ? ok(parsed.data)
    : err({ kind: 'malformed', detail: parsed.error.issues[0]?.message ?? 'unexpected reply' });
}

/** Classifies an error by its chain of causes, because tRPC and undici wrap the original error. */
function toCallError(error: unknown, callerSignal?: AbortSignal): AgentCallError {
  const causes = errorChain(error);
  const detail = causes.at(-1)?.message ?? String(error);
  if (causes.some(isNotSent)) {
    return { kind: 'not-sent', detail };
  }
  if (callerSignal?.aborted) {
    return { kind: 'cancelled' };
  }
  if (causes.some((cause) => cause.name === 'TimeoutError' || cause.name === 'AbortError')) {
    return { kind: 'timeout', detail };
  }
  return { kind: 'lost', detail };
}

function isNotSent(cause: Error): boolean {
  return isConnectError(cause) || notSentCodes.includes(String(Reflect.get(cause, 'code')));
}

function errorChain(error: unknown): Error[] {
  if (!(error instanceof Error)) {
    return [];
  }
  return [error, ...errorChain(error.cause)];
}

interface Transport {
  dispatcher: Dispatcher;
  /** Creates the headers with the entry's credentials. */
  headers(): Promise<Record<string, string>>;
}

function openStream(
  transport: Transport,
  address: string,
  request: StreamRequest,
  options: AgentCallOptions,
  onMalformed: () => void,
): ResultAsync<AsyncIterable<StreamFrame>, StreamOpenError> {
  const headTimeout = new AbortController();
  const timer = setTimeout(
    () => headTimeout.abort(new DOMException('no head', 'TimeoutError')),
    options.timeoutMs,
  );
  const signal =
    options.signal === undefined
      ? headTimeout.signal
      : AbortSignal.any([options.signal, headTimeout.signal]);
  const sending = sendStreamRequest(transport, address, request, signal).finally(() =>
    clearTimeout(timer),
  );
  return ResultAsync.fromPromise<Dispatcher.ResponseData, StreamOpenError>(sending, (error) =>
    toCallError(error, options.signal),
  ).andThen((response) =>
    response.statusCode === 200
      ? ok(readFrames(response.body, onMalformed) as AsyncIterable<StreamFrame>)
      : readStreamRefusal(response),
  );
}

async function sendStreamRequest(
  { dispatcher, headers }: Transport,
  address: string,
  request: StreamRequest,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  return sendRequest(`${address}${innerPaths.streams}`, {
    dispatcher,
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      accept: 'text/event-stream',
      ...(await headers()),
    },
    body: JSON.stringify(request),
    signal,
  });
}

/** Reads the refusal from the body of a response that is not an event stream. */
function readStreamRefusal(
  response: Dispatcher.ResponseData,
): ResultAsync<AsyncIterable<StreamFrame>, StreamOpenError> {
  const reading = readLimitedText(response.body, maxRefusalBytes).then(
    (text) => JSON.parse(text) as unknown,
  );
  return ResultAsync.fromPromise<unknown, StreamOpenError>(reading, () => ({
    kind: 'malformed',
    detail: `status ${response.statusCode} without a refusal`,
  })).andThen((body) => {
    const parsed = agentRefusalSchema.safeParse(body);
    return errAsync<AsyncIterable<StreamFrame>, StreamOpenError>(
      parsed.success
        ? parsed.data
        : { kind: 'malformed', detail: `status ${response.statusCode} without a refusal` },
    );
  });
}

async function readLimitedText(body: AsyncIterable<Buffer>, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxBytes) {
      throw new Error('refusal body exceeds the size limit');
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function sendPlain(
  transport: Transport,
  address: string,
  call: PlainCall,
): ResultAsync<PlainResponse, AgentCallError> {
  const sending = sendPlainRequest(transport, address, call);
  return ResultAsync.fromPromise(sending, (error) => toPlainCallError(error, call)).map(
    ({ statusCode, headers, body }) => {
      ignoreLateErrors(body);
      return {
        status: statusCode,
        headers,
        body,
        load: parseLoad(headers),
        refusal: parsePlainRefusal(headers),
      };
    },
  );
}

async function sendPlainRequest(
  { dispatcher, headers }: Transport,
  address: string,
  call: PlainCall,
): Promise<Dispatcher.ResponseData> {
  const { authorization } = await headers();
  return sendRequest(`${address}${innerPaths.plain}${call.target}`, {
    dispatcher,
    method: call.method,
    // `Authorization` carries the caller's credentials and is forwarded to the backend server.
    headers:
      authorization === undefined
        ? call.headers
        : { ...call.headers, [innerHeaders.authorization]: authorization },
    body: call.body,
    headersTimeout: call.headTimeoutMs,
    signal: call.signal,
  });
}

/**
 * undici emits `error` on a body that is destroyed before its end. Nothing reads such a body any more,
 * and an `error` event without a listener would terminate the process.
 */
function ignoreLateErrors(body: Readable): void {
  body.on('error', () => undefined);
}

function toPlainCallError(error: unknown, call: PlainCall): AgentCallError {
  const isHeadTimeout = Reflect.get(Object(error), 'code') === 'UND_ERR_HEADERS_TIMEOUT';
  return isHeadTimeout
    ? { kind: 'timeout', detail: 'no response in time' }
    : toCallError(error, call.signal);
}

function parseLoad(headers: ResponseHeaders): LoadHint | undefined {
  const text = headers[innerHeaders.load];
  if (typeof text !== 'string') {
    return undefined;
  }
  try {
    const parsed = loadHintSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
