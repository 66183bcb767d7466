/** API keys of callers. Only their digests are kept, so that no log, metric or dump can hold a key. */
import { createHash } from 'node:crypto';

/** Equal keys have equal digests; finding one by its digest tells nothing of others by the time that it takes. */
export function digestOfKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}
