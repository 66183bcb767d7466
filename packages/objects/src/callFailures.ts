/**
 * What a call of a store without a usable answer means. At-most-once claims and leases rest on the difference
 * between what certainly had no effect and what may have had one.
 */
import type { PlatformError } from './platformApi';

/** The request was never sent: nothing can have taken effect. */
const notSentCodes: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** The call threw: its connection failed or its time was over. */
export function lostAnswer(method: string, cause: unknown): PlatformError {
  const detail = cause instanceof Error ? cause.message : String(cause);
  const code = (cause as { code?: unknown } | undefined)?.code;
  if (typeof code === 'string' && notSentCodes.includes(code)) {
    return { kind: 'unavailable', detail: `${code}: ${detail}` };
  }
  return brokenAnswer(method, detail);
}

/** A write whose answer cannot be read may have taken effect; a read has none. */
export function brokenAnswer(method: string, detail: string): PlatformError {
  return { kind: method === 'GET' ? 'unavailable' : 'unknown-outcome', detail };
}

/** Undefined for a text that is no JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
