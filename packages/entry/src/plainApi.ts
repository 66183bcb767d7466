/** Handler of plain traffic: matches a route, reads or streams the request body and runs the request. */
import { effectiveClass } from '@bluebellhitch/document';
import { callerHeaders } from '@bluebellhitch/protocol';
import type { BodyReaderPool } from '@bluebellhitch/ports';
import { assertNever, createRefusal, monotonicNowMs, refusalReasons } from '@bluebellhitch/shared';
import { refuseBadHeaders, refuseBody, type CallerExchange } from './callerExchange';
import { computeClaimKey, computeFingerprint } from './digests';
import { headerText } from './headers';
import { createLinkedAbort } from './linkedAbort';
import { stopReasons, type StopReason } from './modelTypes';
import { createPlainRun, runPlainRequest } from './plainRequest';
import type { PlainBody, PlainRequest } from './plainTypes';
import { createReplayBody, hasBody } from './replayBody';
import { declaredLength, readBody } from './requestBody';
import type { RequestContext } from './requestContext';
import type { PlainTarget, ServiceTable } from './serviceTable';

export interface PlainApiOptions {
  context: RequestContext;
  services: ServiceTable;
  bodies: BodyReaderPool;
  /** Bytes of a request body that are buffered for another attempt. */
  maxReplayBytes?: number;
  /** Longest pause while a caller sends a body. */
  slowSenderTimeoutMs: number;
}

export interface PlainApi {
  handle(exchange: CallerExchange): Promise<void>;
  activeCount(): number;
  /** Stops all requests, also those that start later. */
  stopAll(reason: StopReason): void;
}

const defaultMaxReplayBytes = 64 * 1024;
const methodNotAllowedStatus = 405;

export function createPlainApi(options: PlainApiOptions): PlainApi {
  const {
    context,
    bodies,
    services,
    slowSenderTimeoutMs,
    maxReplayBytes = defaultMaxReplayBytes,
  } = options;
  const active = new Set<AbortController>();
  let allStopped: StopReason | undefined;

  async function handle(exchange: CallerExchange): Promise<void> {
    if (refuseBadHeaders(exchange)) {
      return;
    }
    const target = findTarget(exchange);
    const body = target && (await readOrStreamBody(exchange, target.match));
    if (target === undefined || body === undefined) {
      return;
    }
    const request = buildRequest(exchange, target, body);
    if (!request.repeatable && request.claimKey === undefined) {
      exchange.refuse(
        createRefusal({
          reason: refusalReasons.missingIdempotencyKey,
          detail: 'a request that is not to be repeated must carry Idempotency-Key',
        }),
      );
      return;
    }
    await runTracked(request);
  }

  function findTarget(exchange: CallerExchange): MatchedTarget | undefined {
    const { method = 'GET', url = '/', headers } = exchange.incoming;
    const location = parseTarget(url);
    if (location === undefined) {
      exchange.refuse(
        createRefusal({ reason: refusalReasons.badRequest, detail: 'the target is not a path' }),
      );
      return undefined;
    }
    const match = services.findPlain({ host: headers.host, path: location.pathname, method });
    if (match.kind === 'found') {
      return { match: match.target, method, target: `${location.pathname}${location.search}` };
    }
    refuseUnmatched(exchange, match.kind === 'none' ? undefined : match.allowed);
    return undefined;
  }

  /** Reads small bodies completely, so that they can be fingerprinted and sent again; streams all others. */
  async function readOrStreamBody(
    exchange: CallerExchange,
    { document }: PlainTarget,
  ): Promise<PlainBody | undefined> {
    const { incoming } = exchange;
    const { maxBodyBytes: maxBytes } = document.limits;
    if (!hasBody(incoming)) {
      return { kind: 'none' };
    }
    const length = declaredLength(incoming);
    if (length !== undefined && (length <= maxReplayBytes || length > maxBytes)) {
      const body = await readBody(incoming, {
        ...{ maxBytes, bodies, onHeld: exchange.onceOver },
        timeoutMs: slowSenderTimeoutMs,
      });
      return body.match(
        (bytes) => ({ kind: 'whole', bytes }),
        (error) => {
          refuseBody(exchange, error);
          return undefined;
        },
      );
    }
    const idleTimeoutMs = slowSenderTimeoutMs;
    const replay = createReplayBody({
      ...{ incoming, maxReplayBytes, maxBytes, idleTimeoutMs },
      takeMemory: bodies.takeMemory,
    });
    exchange.onceOver(replay.release);
    return { kind: 'streamed', replay };
  }

  async function runTracked(request: PlainRequest): Promise<void> {
    const stop = new AbortController();
    const linkedAbort = createLinkedAbort([
      { signal: request.exchange.disconnectSignal, reason: stopReasons.callerGone },
    ]);
    stop.signal.addEventListener('abort', () => linkedAbort.abort(stop.signal.reason));
    const timer = setTimeout(
      () => linkedAbort.abort(stopReasons.deadline),
      Math.max(0, request.deadlineAtMs - monotonicNowMs()),
    );
    active.add(stop);
    if (allStopped !== undefined) {
      stop.abort(allStopped);
    }
    try {
      await runPlainRequest(context, createPlainRun(context, request, linkedAbort.signal));
    } finally {
      clearTimeout(timer);
      linkedAbort.dispose();
      active.delete(stop);
    }
  }

  return {
    handle,
    activeCount: () => active.size,
    stopAll(reason) {
      allStopped = reason;
      active.forEach((stop) => stop.abort(reason));
    },
  };
}

interface MatchedTarget {
  match: PlainTarget;
  method: string;
  target: string;
}

/** Resolves dot segments, so that `/public/../orders` does not match the route `/public`. */
function parseTarget(url: string): URL | undefined {
  return url.startsWith('/') ? (URL.parse?.(`http://host${url}`) ?? parseUrl(url)) : undefined;
}

function parseUrl(url: string): URL | undefined {
  try {
    return new URL(`http://host${url}`);
  } catch {
    return undefined;
  }
}

function refuseUnmatched(exchange: CallerExchange, allowed: string[] | undefined): void {
  if (allowed === undefined) {
    exchange.refuse(
      createRefusal({ reason: refusalReasons.unknownService, detail: 'no service has this path' }),
    );
    return;
  }
  exchange.outgoing.setHeader('allow', allowed.join(', '));
  exchange.refuse(
    createRefusal({ reason: refusalReasons.badRequest, detail: 'the path has other methods' }),
    methodNotAllowedStatus,
  );
}

function buildRequest(
  exchange: CallerExchange,
  { match, method, target }: MatchedTarget,
  body: PlainBody,
): PlainRequest {
  const { headers } = exchange.incoming;
  const { document, route } = match;
  const trafficClass = effectiveClass(document, headerText(headers, callerHeaders.className));
  const institution = headerText(headers, callerHeaders.institution) ?? document.institution;
  const key = headerText(headers, callerHeaders.idempotencyKey);
  const arrivedAtMs = monotonicNowMs();
  return {
    exchange,
    document,
    route,
    trafficClass,
    origin: {
      institution,
      workspace: headerText(headers, callerHeaders.workspace),
      className: trafficClass.name,
    },
    method,
    target,
    repeatable: route.repeatable && headerText(headers, callerHeaders.noRepeat) !== 'true',
    claimKey: key === undefined ? undefined : computeClaimKey(document.service, institution, key),
    fingerprint: computePlainFingerprint(institution, method, target, body),
    body,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + document.limits.requestTimeoutMs,
  };
}

function computePlainFingerprint(
  institution: string,
  method: string,
  target: string,
  body: PlainBody,
): string | undefined {
  switch (body.kind) {
    case 'none':
      return computeFingerprint(institution, method, target);
    case 'whole':
      return computeFingerprint(institution, method, target, body.bytes);
    case 'streamed':
      return undefined;
    default:
      return assertNever(body);
  }
}
