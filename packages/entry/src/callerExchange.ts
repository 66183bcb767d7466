/** One request of a caller and its response, as the handlers of the caller API see them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createDisconnectSignal,
  onceResponseOver,
  type CallerConnection,
} from '@bluebellhitch/routing';
import { createRefusal, refusalReasons, type Refusal } from '@bluebellhitch/shared';
import { findHeaderError, resolveRequestId } from './headers';
import { sendProblem } from './problem';
import type { BodyError } from './requestBody';

export interface CallerExchange {
  requestId: string;
  incoming: IncomingMessage;
  outgoing: ServerResponse;
  /** Aborts when the caller's connection closes before the response is complete. */
  disconnectSignal: AbortSignal;
  /** Calls the listener once the response is over, or the connection is closed. */
  onceOver(listener: () => void): void;
  refuse(refusal: Refusal, status?: number): void;
}

const requestTimeoutStatus = 408;
/** Time in which requests in progress end and free their memory. */
const memoryRetryAfterMs = 500;

export function createCallerExchange(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  connection: CallerConnection,
): CallerExchange {
  const requestId = resolveRequestId(incoming.headers);
  // A reset connection also emits `error` on the request; the `close` handler above deals with it.
  incoming.on('error', () => undefined);
  return {
    requestId,
    incoming,
    outgoing,
    disconnectSignal: createDisconnectSignal(outgoing, connection),
    onceOver: (listener) => onceResponseOver(outgoing, connection, listener),
    refuse(refusal, status) {
      if (!incoming.complete) {
        // The rest of the body is not read, so the connection cannot serve another request.
        outgoing.shouldKeepAlive = false;
      }
      sendProblem(outgoing, refusal, { requestId, status });
    },
  };
}

/** Refuses a request with invalid headers; returns whether it did. */
export function refuseBadHeaders(exchange: CallerExchange): boolean {
  const error = findHeaderError(exchange.incoming.headers);
  if (error !== undefined) {
    exchange.refuse(createRefusal({ reason: refusalReasons.badRequest, detail: error }));
  }
  return error !== undefined;
}

/** Refuses a request whose body could not be read. */
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
    case 'no-memory':
      exchange.refuse(
        createRefusal({
          reason: refusalReasons.noCapacity,
          detail: 'no memory for the body',
          retryAfterMs: memoryRetryAfterMs,
        }),
      );
      return;
    case 'timeout':
      exchange.refuse(
        createRefusal({
          reason: refusalReasons.badRequest,
          detail: `the body did not arrive within ${error.timeoutMs} ms`,
        }),
        requestTimeoutStatus,
      );
      return;
    default:
      exchange.outgoing.destroy();
  }
}
