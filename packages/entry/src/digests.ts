/** Digests of requests: fingerprints for quarantine, and keys for claims and shared runs. */
import { createHash } from 'node:crypto';

const digestLength = 32;

function digest(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part.length}:`).update(part));
  return hash.digest('hex').slice(0, digestLength);
}

/** Fingerprint of a request's institution and content, by which repeated requests are recognised. */
export function computeFingerprint(institution: string, ...content: (string | Buffer)[]): string {
  return digest([institution, ...content]);
}

/** Key of a claim, unique for each service, institution and idempotency key. */
export function computeClaimKey(
  service: string,
  institution: string,
  idempotencyKey: string,
): string {
  return `${service}/${digest([institution, idempotencyKey])}`;
}
