/** Digest of content by which repeated requests are recognised; two contents with the same digest cannot be made. */
import { createHash } from 'node:crypto';

/** Hexadecimal digits of a digest: 128 bits. */
const digestLength = 32;

/** Digest of the parts in their order. Each part is hashed with its length, so that no other division gives the same. */
export function digestParts(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part.length}:`).update(part));
  return hash.digest('hex').slice(0, digestLength);
}
