/** Handlers of `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`. */
import { effectiveClass, type ServiceDocument } from '@bluebellhitch/document';
import { callerHeaders, estimateTokens, prefixBlockHashes } from '@bluebellhitch/protocol';
import type { BodyReaderPool } from '@bluebellhitch/ports';
import { assertNever, createRefusal, monotonicNowMs, refusalReasons } from '@bluebellhitch/shared';
import type { ResponseEvent, ResponseLog } from './responseLog';
import { refuseBadHeaders, refuseBody, type CallerExchange } from './callerExchange';
import { parseCompletionBody, type CompletionBody, type CompletionKind } from './completionsBody';
import {
  errorEvent,
  finishChunk,
  textChunk,
  usageChunk,
  completionObject,
  type CompletionIdentity,
} from './completionsFormat';
import { computeClaimKey, computeFingerprint } from './digests';
import { headerText } from './headers';
import type { ModelRuns } from './modelRuns';
import type { ModelRequest } from './modelTypes';
import { readBody } from './requestBody';
import type { ModelTarget, ServiceTable } from './serviceTable';
import { createSseWriter, type SseWriter } from './sseWriter';

export interface CompletionsApiOptions {
  services: ServiceTable;
  runs: ModelRuns;
  bodies: BodyReaderPool;
  /** Limit that applies before the service is known; the service's own limit applies in addition. */
  maxBodyBytes: number;
  slowSenderTimeoutMs: number;
}

export interface CompletionsApi {
  complete(exchange: CallerExchange, kind: CompletionKind): Promise<void>;
  listModels(exchange: CallerExchange): void;
}

interface AdmittedRequest {
  request: ModelRequest;
  body: CompletionBody;
  shareKey?: string;
}

const paths = { chat: '/v1/chat/completions', text: '/v1/completions' } as const;
const msPerSecond = 1000;

export function createCompletionsApi(options: CompletionsApiOptions): CompletionsApi {
  const { services, runs, bodies, maxBodyBytes, slowSenderTimeoutMs } = options;

  async function complete(exchange: CallerExchange, kind: CompletionKind): Promise<void> {
    const arrivedAtMs = monotonicNowMs();
    if (refuseBadHeaders(exchange)) {
      return;
    }
    const body = await readBody(exchange.incoming, {
      maxBytes: maxBodyBytes,
      timeoutMs: slowSenderTimeoutMs,
      bodies,
      onHeld: exchange.onceOver,
    });
    if (body.isErr()) {
      refuseBody(exchange, body.error);
      return;
    }
    const admitted = admit(exchange, kind, body.value, arrivedAtMs);
    if (admitted !== undefined) {
      await respond(exchange, admitted);
    }
  }

  function admit(
    exchange: CallerExchange,
    kind: CompletionKind,
    bytes: Buffer,
    arrivedAtMs: number,
  ): AdmittedRequest | undefined {
    const body = parseCompletionBody(kind, bytes.toString('utf8'));
    if (body.isErr()) {
      exchange.refuse(createRefusal({ reason: refusalReasons.badRequest, detail: body.error }));
      return undefined;
    }
    const target = services.findModel(body.value.model);
    if (target === undefined) {
      const detail = `no service offers the model ${JSON.stringify(body.value.model)}`;
      exchange.refuse(createRefusal({ reason: refusalReasons.unknownService, detail }));
      return undefined;
    }
    const { maxBodyBytes: serviceMaxBytes } = target.document.limits;
    if (bytes.length > serviceMaxBytes) {
      refuseBody(exchange, { kind: 'too-large', maxBytes: serviceMaxBytes });
      return undefined;
    }
    return admitParsedRequest(exchange, { body: body.value, target, bytes, arrivedAtMs });
  }

  /** Refuses requests that must not be repeated and carry no idempotency key. */
  function admitParsedRequest(
    exchange: CallerExchange,
    parsed: ParsedRequest,
  ): AdmittedRequest | undefined {
    const { headers } = exchange.incoming;
    const repeatable = isRepeatable(exchange, parsed);
    const key = headerText(headers, callerHeaders.idempotencyKey);
    if (!repeatable && key === undefined) {
      exchange.refuse(
        createRefusal({
          reason: refusalReasons.missingIdempotencyKey,
          detail: 'a request that is not to be repeated must carry Idempotency-Key',
        }),
      );
      return undefined;
    }
    const request = buildRequest(exchange, parsed, repeatable, key);
    const shareKey =
      repeatable && key !== undefined ? `${request.claimKey}/${request.fingerprint}` : undefined;
    return { request, body: parsed.body, shareKey };
  }

  async function respond(exchange: CallerExchange, admitted: AdmittedRequest): Promise<void> {
    const { request, body, shareKey } = admitted;
    const membership = runs.start(request, shareKey);
    const leaveRun = () => membership.leave();
    exchange.disconnectSignal.addEventListener('abort', leaveRun);
    const identity: CompletionIdentity = {
      kind: body.kind,
      requestId: exchange.requestId,
      model: body.model,
      createdAtSeconds: Math.floor(Date.now() / msPerSecond),
    };
    const { promptTokens } = request;
    await (body.stream
      ? sendStream(exchange, membership.log, { identity, promptTokens, body })
      : sendCompletion(exchange, membership.log, { identity, promptTokens, body }));
    leaveRun();
  }

  function listModels(exchange: CallerExchange): void {
    const models = services
      .list()
      .filter(({ document }) => document.kind === 'model')
      .map(({ document }) => ({
        id: document.service,
        object: 'model',
        created: 0,
        owned_by: document.institution,
      }));
    const text = JSON.stringify({ object: 'list', data: models });
    exchange.outgoing.writeHead(200, {
      'content-type': 'application/json',
      'x-request-id': exchange.requestId,
    });
    exchange.outgoing.end(text);
  }

  return { complete, listModels };
}

interface ParsedRequest {
  body: CompletionBody;
  target: ModelTarget;
  bytes: Buffer;
  arrivedAtMs: number;
}

function isRepeatable(exchange: CallerExchange, { body, target }: ParsedRequest): boolean {
  const isMarkedNoRepeat = headerText(exchange.incoming.headers, callerHeaders.noRepeat) === 'true';
  return !isMarkedNoRepeat && routeAllowsRepeating(target.document, paths[body.kind]);
}

function routeAllowsRepeating(document: ServiceDocument, path: string): boolean {
  return document.routes.every(
    ({ pathPrefix, repeatable }) => repeatable || !path.startsWith(pathPrefix),
  );
}

function buildRequest(
  exchange: CallerExchange,
  { body, target, bytes, arrivedAtMs }: ParsedRequest,
  repeatable: boolean,
  key: string | undefined,
): ModelRequest {
  const { headers } = exchange.incoming;
  const { document, engineModel } = target;
  const trafficClass = effectiveClass(document, headerText(headers, callerHeaders.className));
  const institution = headerText(headers, callerHeaders.institution) ?? document.institution;
  const workspace = headerText(headers, callerHeaders.workspace);
  const { maxOutputTokens, requestTimeoutMs } = document.limits;
  return {
    requestId: exchange.requestId,
    document,
    trafficClass,
    engineModel,
    origin: { institution, workspace, className: trafficClass.name },
    prompt: body.prompt,
    promptTokens: estimateTokens(body.prompt),
    prefixBlocks: prefixBlockHashes(body.prompt),
    maxOutputTokens: Math.min(body.maxOutputTokens ?? maxOutputTokens, maxOutputTokens),
    repeatable,
    claimKey: key === undefined ? undefined : computeClaimKey(document.service, institution, key),
    fingerprint: computeFingerprint(institution, bytes),
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + requestTimeoutMs,
  };
}

interface ResponseFormat {
  identity: CompletionIdentity;
  promptTokens: number;
  body: CompletionBody;
}

/**
 * Sends events as they arrive. The response head is sent with the first event, so that a refusal before it can still
 * be a problem document.
 */
async function sendStream(
  exchange: CallerExchange,
  log: ResponseLog,
  format: ResponseFormat,
): Promise<void> {
  let writer: SseWriter | undefined;
  for await (const event of log.read(exchange.disconnectSignal)) {
    if (event.kind === 'refused' && writer === undefined) {
      exchange.refuse(event.refusal);
      return;
    }
    const isFirst = writer === undefined;
    writer ??= createSseWriter(exchange.outgoing, { 'x-request-id': exchange.requestId });
    await sendEvent(writer, event, { ...format, isFirst, requestId: exchange.requestId });
  }
}

async function sendEvent(
  writer: SseWriter,
  event: ResponseEvent,
  format: ResponseFormat & { isFirst: boolean; requestId: string },
): Promise<void> {
  const { identity, promptTokens, body } = format;
  switch (event.kind) {
    case 'tokens':
      await writer.data(textChunk(identity, event.text, format.isFirst));
      return;
    case 'end':
      await writer.data(finishChunk(identity, event.finishReason));
      if (body.includeUsage) {
        await writer.data(usageChunk(identity, { promptTokens, outputTokens: event.outputTokens }));
      }
      writer.done();
      return;
    case 'refused':
      // The error event and the missing end marker keep the caller from taking a partial response for a complete one.
      await writer.event('error', errorEvent(event.refusal, format.requestId));
      writer.end();
      return;
    default:
      assertNever(event);
  }
}

async function sendCompletion(
  exchange: CallerExchange,
  log: ResponseLog,
  { identity, promptTokens }: ResponseFormat,
): Promise<void> {
  const texts: string[] = [];
  for await (const event of log.read(exchange.disconnectSignal)) {
    switch (event.kind) {
      case 'tokens':
        texts.push(event.text);
        break;
      case 'refused':
        exchange.refuse(event.refusal);
        break;
      case 'end':
        sendJson(
          exchange,
          completionObject(identity, {
            text: texts.join(''),
            finishReason: event.finishReason,
            usage: { promptTokens, outputTokens: event.outputTokens },
          }),
        );
        break;
      default:
        assertNever(event);
    }
  }
}

function sendJson({ outgoing, requestId }: CallerExchange, value: object): void {
  const text = JSON.stringify(value);
  outgoing.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    'x-request-id': requestId,
  });
  outgoing.end(text);
}
