/**
 * Reverse proxy for plain calls to the backend server, streaming both ways with backpressure. A call holds
 * one of the server's slots, reserved in advance under its attempt id or on arrival.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { finished } from 'node:stream/promises';
import {
  agentRefusalReasons,
  innerHeaders,
  innerPaths,
  type AgentRefusalReason,
  type LoadHint,
  type ReserveReply,
} from '@bluebellhitch/protocol';
import {
  createBackendConnections,
  createResponseWriter,
  forwardBody,
  type HttpOutcome,
  type HttpResponse,
} from '@bluebellhitch/routing';
import { endAfterUnreadBody, type InnerCall } from '@bluebellhitch/ports';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Agent } from './agent';
import {
  forwardedRequestHeaders,
  forwardedResponseHeaders,
  readPlainCall,
  type PlainCall,
} from './plainHeaders';
import { isPortClosed } from './portProbe';

export interface PlainProxyOptions {
  agent: Pick<Agent, 'leasing' | 'load' | 'config'>;
  /** `http://ip:port` of the backend server. */
  backendUrl: string;
  connectTimeoutMs?: number;
}

export interface PlainProxy {
  handle(call: InnerCall): Promise<void>;
  close(): Promise<void>;
}

const defaultConnectTimeoutMs = 1000;

interface Refusal {
  reason: AgentRefusalReason;
  isProvenNotRun: boolean;
  detail: string;
  retryAfterMs?: number;
}

export function createPlainProxy(options: PlainProxyOptions): PlainProxy {
  const { agent, backendUrl, connectTimeoutMs = defaultConnectTimeoutMs } = options;
  const { table, releaser, attempts, estimates, reservations } = agent.leasing;
  const { host: address } = new URL(backendUrl);
  const connections = createBackendConnections({ connectTimeoutMs });

  async function handle(inner: InnerCall): Promise<void> {
    const { incoming, outgoing } = inner;
    const call = readPlainCall(incoming.headers);
    if (call === undefined) {
      respond(inner, {
        status: 400,
        headers: {},
        title: 'inner headers are missing',
      });
      return;
    }
    const callAbort = new AbortController();
    outgoing.once('close', () => callAbort.abort());
    const refusal = await admit(call, callAbort.signal);
    if (refusal !== undefined) {
      refuse(inner, refusal, agent.load());
      return;
    }
    await runAdmitted(call, inner, callAbort);
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
    inner: InnerCall,
    callAbort: AbortController,
  ): Promise<void> {
    const { incoming, outgoing } = inner;
    const { attemptId } = call;
    const startedAtMs = monotonicNowMs();
    releaser.registerTask(attemptId, () => callAbort.abort());
    try {
      const outcome = await send(call, incoming, callAbort.signal);
      if (outcome.kind === 'answered') {
        await forward(outcome.response, outgoing);
        estimates.observeCall(monotonicNowMs() - startedAtMs);
      } else {
        refuseFailed(inner, outcome);
      }
    } catch {
      // The response is destroyed, which shows the entry that it is incomplete.
    } finally {
      attempts.noteEnded(attemptId);
      releaser.finish(attemptId);
    }
  }

  function send(
    call: PlainCall,
    incoming: IncomingMessage,
    signal: AbortSignal,
  ): Promise<HttpOutcome> {
    return connections.call({
      address,
      method: incoming.method ?? '',
      path: (incoming.url ?? '').slice(innerPaths.plain.length) || '/',
      headers: forwardedRequestHeaders(incoming.headers),
      body: hasBody(incoming) ? incoming : undefined,
      headTimeoutMs: call.deadlineInMs ?? agent.config().requestTimeoutMs,
      // The leases limit how many calls are in progress.
      maxConnections: Infinity,
      hasServerEnded: () => isPortClosed(address, connectTimeoutMs),
      signal,
      identity: { kind: 'unmarked' },
    });
  }

  /** Resolves once the whole response is sent; rejects if it is incomplete. */
  async function forward(response: HttpResponse, outgoing: ServerResponse): Promise<void> {
    outgoing.writeHead(response.status, [
      ...forwardedResponseHeaders(response.headers),
      innerHeaders.load,
      JSON.stringify(agent.load()),
    ]);
    await Promise.all([
      forwardBody(createResponseWriter(outgoing), [], response.body),
      finished(outgoing),
    ]);
  }

  function refuseFailed(
    inner: InnerCall,
    outcome: Exclude<HttpOutcome, { kind: 'answered' }>,
  ): void {
    const detail = outcome.kind === 'withheld' ? outcome.kind : outcome.detail;
    refuse(
      inner,
      {
        reason: agentRefusalReasons.backendFailed,
        isProvenNotRun: outcome.kind !== 'lost',
        detail: `the backend server did not answer: ${detail}`,
      },
      agent.load(),
    );
  }

  return { handle, close: connections.close };
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
/** The largest body that a document allows: so much of a refused one is read and dropped. */
const maxDiscardedBytes = 64 * 1_048_576;
/** 503 promises that the call has not run and never will. */
const statuses = { notRun: 503, mayHaveRun: 502 } as const;

function refuse(inner: InnerCall, refusal: Refusal, load: LoadHint): void {
  const { reason, isProvenNotRun, detail, retryAfterMs } = refusal;
  respond(inner, {
    status: isProvenNotRun ? statuses.notRun : statuses.mayHaveRun,
    headers: {
      [innerHeaders.refusal]: reason,
      [innerHeaders.load]: JSON.stringify(load),
      ...(isProvenNotRun ? { [innerHeaders.notRun]: 'true' } : {}),
      ...(retryAfterMs === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(retryAfterMs / msPerSecond)) }),
    },
    title: detail,
  });
}

interface OwnResponse {
  status: number;
  headers: Record<string, string>;
  title: string;
}

/** Responds in place of the backend server. */
function respond(inner: InnerCall, { status, headers, title }: OwnResponse): void {
  const { incoming, outgoing, announceClose = () => undefined } = inner;
  const isUnread = !incoming.complete;
  const body = JSON.stringify({ title });
  if (isUnread) {
    announceClose();
  }
  outgoing.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  outgoing.write(body);
  if (isUnread) {
    endAfterUnreadBody(inner, maxDiscardedBytes);
  } else {
    outgoing.end();
  }
}
