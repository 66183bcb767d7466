/** One request of a caller, as the handlers of the callers' side see it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createRefusal, refusalReasons, type Refusal } from '@bluebellhitch/shared';
import { findHeaderFault, requestIdOf } from './headers';
import { sendProblem } from './problem';
import type { BodyError } from './requestBody';

export interface CallerExchange {
  requestId: string;
  incoming: IncomingMessage;
  outgoing: ServerResponse;
  /** Aborts when the caller's connection closes before the response has been sent. */
  gone: AbortSignal;
  refuse(refusal: Refusal, status?: number): void;
}

const slowSenderStatus = 408;

/** Wraps Node's request and response. */
export function createCallerExchange(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): CallerExchange {
  const requestId = requestIdOf(incoming.headers);
  const gone = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      gone.abort();
    }
  });
  // A reset connection is reported on the request as well; `close` above tells what matters.
  incoming.on('error', () => undefined);
  return {
    requestId,
    incoming,
    outgoing,
    gone: gone.signal,
    refuse(refusal, status) {
      if (!incoming.complete) {
        // The rest of the body is not read: the connection cannot serve another request.
        outgoing.shouldKeepAlive = false;
      }
      sendProblem(outgoing, refusal, { requestId, status });
    },
  };
}

/** Refuses a request whose headers are wrong; true where it did. */
export function refuseBadHeaders(exchange: CallerExchange): boolean {
  const fault = findHeaderFault(exchange.incoming.headers);
  if (fault !== undefined) {
    exchange.refuse(createRefusal({ reason: refusalReasons.badRequest, detail: fault }));
  }
  return fault !== undefined;
}

/** Answers a request whose body could not be read. */
export function refuseBody(exchange: CallerExchange, error: BodyError): void {
  switch (error.kind) {
    case 'too-large':
      exchange.refuse(
        createRefusal({
          reason: refusalReasons.bodyTooLarge,
          detail: `the body is larger than ${error.maxBytes} bytes`,
        }),
      );
      return;
    case 'timeout':
      exchange.refuse(
        createRefusal({
          reason: refusalReasons.badRequest,
          detail: `the body did not arrive within ${error.timeoutMs} ms`,
        }),
        slowSenderStatus,
      );
      return;
    default:
      exchange.outgoing.destroy();
  }
}
