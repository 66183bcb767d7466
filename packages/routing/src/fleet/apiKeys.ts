/** API keys of callers. Only their digests are stored, so that no log, metric or dump can contain a key. */
import { createHash } from 'node:crypto';

/** Equal keys have equal digests; the timing of a lookup by digest reveals nothing about other keys. */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}
