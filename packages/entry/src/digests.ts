/** Digests of requests: fingerprints for quarantine, and keys of claims and shared runs. */
import { createHash } from 'node:crypto';

const digestLength = 32;

function digest(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part.length}:`).update(part));
  return hash.digest('hex').slice(0, digestLength);
}

/** Names a request by its institution and content, so that a repeated one is recognised. */
export function fingerprintOf(institution: string, ...content: (string | Buffer)[]): string {
  return digest([institution, ...content]);
}

/** Key of a claim: one for each service, institution and idempotency key. */
export function claimKeyOf(service: string, institution: string, idempotencyKey: string): string {
  return `${service}/${digest([institution, idempotencyKey])}`;
}
