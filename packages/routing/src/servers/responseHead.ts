/** What the head of a response says of it: whether it is the final one, and how its body ends. */

/**
 * What marks the end of a body: the response itself, or the end of its connection. `unknown`: it has a transfer coding
 * that the parser passes on as if it were the body (RFC 9112, 6.1).
 */
export type BodyFraming = 'own' | 'connection' | 'unknown';

const minInterimStatus = 100;
const minFinalStatus = 200;
const maxFinalStatus = 599;
const bodylessStatuses: readonly number[] = [204, 304];

export function isInterim(status: number): boolean {
  return status >= minInterimStatus && status < minFinalStatus;
}

/** Others are invalid (RFC 9110, 15). */
export function isFinal(status: number): boolean {
  return status >= minFinalStatus && status <= maxFinalStatus;
}

/** `headers` alternate names and values. */
export function resolveFraming(
  method: string,
  status: number,
  headers: readonly string[],
): BodyFraming {
  return hasNoBody(method, status) ? 'own' : framingOf(headers);
}

/** Whether a response has no body, although its headers may describe one. */
function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || bodylessStatuses.includes(status);
}

function framingOf(headers: readonly string[]): BodyFraming {
  const codings = valuesOf(headers, 'transfer-encoding')
    .flatMap((value) => value.split(','))
    .map((coding) => coding.trim().toLowerCase());
  if (codings.length === 1 && codings[0] === 'chunked') {
    return 'own';
  }
  if (codings.some((coding) => !['', 'identity'].includes(coding))) {
    return 'unknown';
  }
  const hasLength = valuesOf(headers, 'content-length').length > 0;
  return hasLength && codings.length === 0 ? 'own' : 'connection';
}

function valuesOf(headers: readonly string[], name: string): string[] {
  return headers.filter(
    (_part, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name,
  );
}
