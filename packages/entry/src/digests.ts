/** Digests of requests: fingerprints for quarantine, and keys for claims and shared runs. */
import { digestParts } from '@bluebellhitch/shared';

/** Fingerprint of a request's institution and content, by which repeated requests are recognised. */
export function computeFingerprint(institution: string, ...content: (string | Buffer)[]): string {
  return digestParts([institution, ...content]);
}

/** Key of a claim, unique for each service, institution and idempotency key. */
export function computeClaimKey(
  service: string,
  institution: string,
  idempotencyKey: string,
): string {
  return `${service}/${digestParts([institution, idempotencyKey])}`;
}
