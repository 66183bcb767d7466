/** Headers of callers' requests: which ones are forwarded, and the values that the entry itself reads. */
import type { IncomingHttpHeaders } from 'node:http';
import { randomUUID } from 'node:crypto';
import { callerHeaders, hopByHopHeaders, innerHeaders } from '@bluebellhitch/protocol';

type HeaderValues = Record<string, string | string[] | undefined>;

const innerHeaderNames: readonly string[] = Object.values(innerHeaders);
const requestIdPattern = /^[\w.:-]{1,100}$/;
const maxValueLength = 200;

/**
 * Removes hop-by-hop headers (RFC 9110, section 7.6.1), those that `Connection` names, and the headers
 * of the inner protocol, which a caller must not be able to set.
 */
export function endToEndHeaders(headers: HeaderValues): Record<string, string | string[]> {
  const connectionTokens = String(headers.connection ?? '')
    .split(',')
    .map((token) => token.trim().toLowerCase());
  const dropped = new Set([...hopByHopHeaders, ...innerHeaderNames, ...connectionTokens]);
  return Object.fromEntries(
    Object.entries(headers).filter(
      (header): header is [string, string | string[]] =>
        header[1] !== undefined && !dropped.has(header[0].toLowerCase()),
    ),
  );
}

/** The caller's `x-request-id`, or a new id if it is missing or invalid. */
export function resolveRequestId(headers: IncomingHttpHeaders): string {
  const received = headerText(headers, callerHeaders.requestId);
  return received !== undefined && requestIdPattern.test(received) ? received : randomUUID();
}

/** The trimmed value of a header; `undefined` if it is absent or empty. */
export function headerText(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  const text = Array.isArray(value) ? value.join(', ') : value;
  return text === undefined || text.trim() === '' ? undefined : text.trim();
}

/** Checks the headers that callers set; returns the first error, or `undefined` if they are valid. */
export function findHeaderError(headers: IncomingHttpHeaders): string | undefined {
  const noRepeat = headerText(headers, callerHeaders.noRepeat);
  if (noRepeat !== undefined && noRepeat !== 'true' && noRepeat !== 'false') {
    return `${callerHeaders.noRepeat} must be true or false`;
  }
  const key = headerText(headers, callerHeaders.idempotencyKey);
  if (key !== undefined && key.length > maxValueLength) {
    return `${callerHeaders.idempotencyKey} is longer than ${maxValueLength} characters`;
  }
  const overlong = [
    callerHeaders.institution,
    callerHeaders.workspace,
    callerHeaders.className,
  ].find((name) => (headerText(headers, name)?.length ?? 0) > maxValueLength);
  return overlong === undefined ? undefined : `${overlong} is too long`;
}
