/** Headers on the callers' side: what is forwarded, and what requests say about themselves. */
import type { IncomingHttpHeaders } from 'node:http';
import { randomUUID } from 'node:crypto';
import { callerHeaders, hopByHopHeaders, innerHeaders } from '@bluebellhitch/protocol';

type HeaderValues = Record<string, string | string[] | undefined>;

const innerHeaderNames: readonly string[] = Object.values(innerHeaders);
const requestIdPattern = /^[\w.:-]{1,100}$/;
const maxIdempotencyKeyLength = 200;

/**
 * Drops hop-by-hop headers (RFC 9110, section 7.6.1), those that `Connection` names, and the headers of
 * the inner protocol, which a caller must not be able to set.
 */
export function endToEndHeaders(headers: HeaderValues): Record<string, string | string[]> {
  const named = String(headers.connection ?? '')
    .split(',')
    .map((token) => token.trim().toLowerCase());
  const dropped = new Set([...hopByHopHeaders, ...innerHeaderNames, ...named]);
  return Object.fromEntries(
    Object.entries(headers).filter(
      (header): header is [string, string | string[]] =>
        header[1] !== undefined && !dropped.has(header[0].toLowerCase()),
    ),
  );
}

/** The caller's `x-request-id`, or a new one where it is missing or unusable. */
export function requestIdOf(headers: IncomingHttpHeaders): string {
  const given = headerText(headers, callerHeaders.requestId);
  return given !== undefined && requestIdPattern.test(given) ? given : randomUUID();
}

/** A header's text; `undefined` where it is absent or empty. */
export function headerText(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  const text = Array.isArray(value) ? value.join(', ') : value;
  return text === undefined || text.trim() === '' ? undefined : text.trim();
}

/** A finding of what is wrong with the headers that callers send. */
export function findHeaderFault(headers: IncomingHttpHeaders): string | undefined {
  const noRepeat = headerText(headers, callerHeaders.noRepeat);
  if (noRepeat !== undefined && noRepeat !== 'true' && noRepeat !== 'false') {
    return `${callerHeaders.noRepeat} must be true or false`;
  }
  const key = headerText(headers, callerHeaders.idempotencyKey);
  if (key !== undefined && key.length > maxIdempotencyKeyLength) {
    return `${callerHeaders.idempotencyKey} is longer than ${maxIdempotencyKeyLength} characters`;
  }
  const overlong = [
    callerHeaders.institution,
    callerHeaders.workspace,
    callerHeaders.className,
  ].find((name) => (headerText(headers, name)?.length ?? 0) > maxIdempotencyKeyLength);
  return overlong === undefined ? undefined : `${overlong} is too long`;
}
