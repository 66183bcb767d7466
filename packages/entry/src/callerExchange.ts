/** One request of a caller and its response, as the handlers of the caller API see them. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createDisconnectSignal,
  onceResponseOver,
  type CallerConnection,
} from '@bluebellhitch/routing';
import { endAfterUnreadBody } from '@bluebellhitch/ports';
import { createRefusal, refusalReasons, type Refusal } from '@bluebellhitch/shared';
import { findHeaderError, resolveRequestId } from './headers';
import { startProblem } from './problem';
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
/** The largest body that a document allows: so much of a refused one is read and dropped. */
const maxDiscardedBytes = 64 * 1_048_576;
/** Time in which requests in progress end and free their memory. */
const memoryRetryAfterMs = 500;

export interface CallerExchangeOptions {
  connection: CallerConnection;
  /** Makes the response announce that its connection closes: no further request is taken from it. */
  announceClose: () => void;
}

export function createCallerExchange(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  { connection, announceClose }: CallerExchangeOptions,
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
      const isUnread = !incoming.complete;
      if (isUnread) {
        announceClose();
      }
      if (!startProblem(outgoing, refusal, { requestId, status })) {
        return;
      }
      if (isUnread) {
        endAfterUnreadBody({ incoming, outgoing }, maxDiscardedBytes);
      } else {
        outgoing.end();
      }
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
