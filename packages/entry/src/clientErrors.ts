/** Responds to requests that Node's HTTP parser rejects: invalid or oversized headers, and slow senders. */
import type { Duplex } from 'node:stream';
import { randomUUID } from 'node:crypto';
import { createRefusal, refusalReasons } from '@bluebellhitch/shared';
import { problemContentType, problemDocument } from './problem';

interface ErrorResponse {
  status: number;
  statusText: string;
  detail: string;
}

const errorResponses: Record<string, ErrorResponse> = {
  HPE_HEADER_OVERFLOW: {
    status: 431,
    statusText: 'Request Header Fields Too Large',
    detail: 'the header is too large',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    statusText: 'Request Timeout',
    detail: 'the header did not arrive in time',
  },
};
const malformedRequest: ErrorResponse = {
  status: 400,
  statusText: 'Bad Request',
  detail: 'the request is not valid HTTP',
};

/** Handler of the server's `clientError` event. */
export function respondToClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  // An error written after a response has begun would look like a part of that response.
  const response = Reflect.get(socket, '_httpMessage') as { headersSent?: boolean } | undefined;
  if (error.code === 'ECONNRESET' || !socket.writable || response?.headersSent) {
    socket.destroy();
    return;
  }
  const { status, statusText, detail } = errorResponses[error.code ?? ''] ?? malformedRequest;
  const refusal = createRefusal({ reason: refusalReasons.badRequest, detail });
  const body = JSON.stringify(problemDocument(refusal, { requestId: randomUUID(), status }));
  const head = [
    `HTTP/1.1 ${status} ${statusText}`,
    `Content-Type: ${problemContentType}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
  ].join('\r\n');
  socket.end(`${head}\r\n\r\n${body}`);
}
