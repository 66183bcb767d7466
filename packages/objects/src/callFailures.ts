/**
 * Classifies calls to a store that got no usable response. At-most-once claims and leases depend on the
 * difference between calls that certainly had no effect and calls that may have had one.
 */
import { isConnectError } from '@bluebellhitch/shared';
import type { PlatformError } from './platformApi';

/** Error of a call that threw because its connection failed or it timed out. */
export function lostResponseError(method: string, cause: unknown): PlatformError {
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (isConnectError(cause)) {
    return { kind: 'unavailable', detail: `${(cause as NodeJS.ErrnoException).code}: ${detail}` };
  }
  return unusableResponseError(method, detail);
}

/** Error of a call whose response cannot be used: a write may have taken effect, a read has no effect. */
export function unusableResponseError(method: string, detail: string): PlatformError {
  return { kind: method === 'GET' ? 'unavailable' : 'unknown-outcome', detail };
}

/** Returns `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
