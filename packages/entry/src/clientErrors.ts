/** Answers requests that Node's parser gave up on: bad or oversized headers, and slow senders. */
import type { Duplex } from 'node:stream';
import { randomUUID } from 'node:crypto';
import { createRefusal, refusalReasons } from '@bluebellhitch/shared';
import { problemContentType, problemDocument } from './problem';

interface ClientFault {
  status: number;
  statusText: string;
  detail: string;
}

const faults: Record<string, ClientFault> = {
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
const malformed: ClientFault = {
  status: 400,
  statusText: 'Bad Request',
  detail: 'the request is not valid HTTP',
};

/** Handler of the server's `clientError` event. */
export function answerClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  // Bytes of an error written into a response that has begun would look like a part of that answer.
  const response = Reflect.get(socket, '_httpMessage') as { headersSent?: boolean } | undefined;
  if (error.code === 'ECONNRESET' || !socket.writable || response?.headersSent) {
    socket.destroy();
    return;
  }
  const { status, statusText, detail } = faults[error.code ?? ''] ?? malformed;
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
