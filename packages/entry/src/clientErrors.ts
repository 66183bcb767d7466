/** Responds to requests that Node's HTTP parser rejects: invalid or oversized headers, and slow senders. */
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

/** The response to an error of the server's `clientError` event. */
export function clientErrorResponse(error: NodeJS.ErrnoException): string {
  const { status, statusText, detail } = errorResponses[error.code ?? ''] ?? malformedRequest;
  const refusal = createRefusal({ reason: refusalReasons.badRequest, detail });
  const body = JSON.stringify(problemDocument(refusal, { requestId: randomUUID(), status }));
  const head = [
    `HTTP/1.1 ${status} ${statusText}`,
    `Content-Type: ${problemContentType}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
  ].join('\r\n');
  return `${head}\r\n\r\n${body}`;
}
