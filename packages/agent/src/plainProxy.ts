/**
 * Reverse proxy for plain calls to the backend server, streaming both ways with backpressure. A call holds
 * one of the server's slots, reserved in advance under its attempt id or on arrival.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import {
  agentRefusalReasons,
  innerHeaders,
  innerPaths,
  type AgentRefusalReason,
  type LoadHint,
  type ReserveReply,
} from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { Pool, type Dispatcher } from 'undici';
import type { Agent } from './agent';
import {
  forwardedRequestHeaders,
  forwardedResponseHeaders,
  readPlainCall,
  type PlainCall,
} from './plainHeaders';

export interface PlainProxyOptions {
  agent: Pick<Agent, 'leasing' | 'load' | 'config'>;
  /** `http://ip:port` of the backend server. */
  backendUrl: string;
  connectTimeoutMs?: number;
}

export interface PlainProxy {
  handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void>;
  close(): Promise<void>;
}

const defaultConnectTimeoutMs = 1000;
/** Shorter than the idle timeout of common servers, so that no call is sent on a connection that is closing. */
const keepAliveMs = 2000;

/** Error codes of failures before the connection was established: the call certainly did not run. */
const connectFailures: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

interface Refusal {
  reason: AgentRefusalReason;
  isProvenNotRun: boolean;
  detail: string;
  retryAfterMs?: number;
}

export function createPlainProxy(options: PlainProxyOptions): PlainProxy {
  const { agent, backendUrl, connectTimeoutMs = defaultConnectTimeoutMs } = options;
  const { table, releaser, attempts, estimates, reservations } = agent.leasing;
  const pool = new Pool(backendUrl, {
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  async function handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const call = readPlainCall(incoming.headers);
    if (call === undefined) {
      outgoing.writeHead(400, { 'content-type': 'application/json' });
      outgoing.end(JSON.stringify({ title: 'inner headers are missing' }));
      return;
    }
    const callAbort = new AbortController();
    outgoing.once('close', () => callAbort.abort());
    const refusal = await admit(call, callAbort.signal);
    if (refusal !== undefined) {
      refuse(outgoing, refusal, agent.load());
      return;
    }
    await runAdmitted(call, incoming, outgoing, callAbort);
  }

  async function admit(call: PlainCall, signal: AbortSignal): Promise<Refusal | undefined> {
    const reply = await reservations.reserve(toReservation(call), signal);
    if (reply.kind === 'refused') {
      return toRefusal(reply);
    }
    if (
      !attempts.tryStart(call.attemptId) ||
      !table.advance(call.attemptId, 'streaming', predictReleaseAtMs())
    ) {
      return {
        reason: agentRefusalReasons.unknownLease,
        isProvenNotRun: false,
        detail: 'this attempt has been started or cancelled before',
      };
    }
    table.bindToConnection(call.attemptId);
    return undefined;
  }

  function toReservation(call: PlainCall) {
    const deadlineInMs = call.deadlineInMs ?? agent.config().requestTimeoutMs;
    return {
      entryId: call.entryId,
      entryIncarnation: call.entryIncarnation,
      requestId: call.requestId,
      attemptId: call.attemptId,
      origin: { institution: call.institution, className: call.className },
      service: call.service,
      purpose: 'plain' as const,
      promptTokens: 0,
      maxOutputTokens: 0,
      neededInMs: 0,
      waitLimitMs: deadlineInMs,
      firstTokenDeadlineInMs: deadlineInMs,
      repeatable: false,
    };
  }

  function predictReleaseAtMs(): number {
    return monotonicNowMs() + estimates.callMs();
  }

  async function runAdmitted(
    call: PlainCall,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    callAbort: AbortController,
  ): Promise<void> {
    const { attemptId } = call;
    const startedAtMs = monotonicNowMs();
    releaser.registerTask(attemptId, () => callAbort.abort());
    const timer = setTimeout(
      () => callAbort.abort(),
      call.deadlineInMs ?? agent.config().requestTimeoutMs,
    );
    try {
      const response = await send(incoming, callAbort.signal);
      clearTimeout(timer);
      outgoing.writeHead(response.statusCode, {
        ...forwardedResponseHeaders(response.headers),
        [innerHeaders.load]: JSON.stringify(agent.load()),
      });
      await pipeline(response.body, outgoing);
      estimates.observeCall(monotonicNowMs() - startedAtMs);
    } catch (error) {
      sendFailure(outgoing, error);
    } finally {
      clearTimeout(timer);
      attempts.noteEnded(attemptId);
      releaser.finish(attemptId);
    }
  }

  function send(incoming: IncomingMessage, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return pool.request({
      method: incoming.method as Dispatcher.HttpMethod,
      path: (incoming.url ?? '').slice(innerPaths.plain.length) || '/',
      headers: forwardedRequestHeaders(incoming.headers),
      body: hasBody(incoming) ? incoming : null,
      signal,
    });
  }

  function sendFailure(outgoing: ServerResponse, error: unknown): void {
    if (outgoing.headersSent) {
      // The pipeline has destroyed the connection, which shows the entry that the response is incomplete.
      return;
    }
    const code = String((error as { code?: unknown }).code ?? '');
    refuse(
      outgoing,
      {
        reason: agentRefusalReasons.backendFailed,
        isProvenNotRun: connectFailures.includes(code),
        detail: `the backend server did not answer: ${code || 'aborted'}`,
      },
      agent.load(),
    );
  }

  return { handle, close: () => pool.destroy() };
}

function toRefusal(reply: Extract<ReserveReply, { kind: 'refused' }>): Refusal {
  return {
    reason: reply.reason,
    isProvenNotRun: reply.notRun === true,
    detail: reply.detail,
    retryAfterMs: reply.retryAfterMs,
  };
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

const msPerSecond = 1000;

function refuse(outgoing: ServerResponse, refusal: Refusal, load: LoadHint): void {
  const { reason, isProvenNotRun, detail, retryAfterMs } = refusal;
  outgoing.writeHead(503, {
    'content-type': 'application/json',
    [innerHeaders.refusal]: reason,
    [innerHeaders.load]: JSON.stringify(load),
    ...(isProvenNotRun ? { [innerHeaders.notRun]: 'true' } : {}),
    ...(retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.ceil(retryAfterMs / msPerSecond)) }),
  });
  outgoing.end(JSON.stringify({ title: detail }));
}
