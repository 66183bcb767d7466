/** Recognises a caller's request when it comes again, at any router and under another request id. */
import { digestParts } from '@bluebellhitch/shared';
import type { CallerRequest } from '../model';

/**
 * Digest of the method, host, path with query, workspace and body. Headers do not count: a repeated request has other
 * ids and deadlines.
 */
export function computeRequestFingerprint(request: CallerRequest): string {
  const { method, host, target, workspaceName = '', body } = request;
  return digestParts([method, host.toLowerCase(), target, workspaceName, body]);
}

/** What a request is recognised by when it, or one that shares a part of its prompt, comes again. */
export interface RequestIdentity {
  /** Identifies all of the request's content; computed at the first call. */
  fingerprint: () => string;
  /** Identify the parts of its prompt that other requests may share, in order. */
  partFingerprints: readonly string[];
}

const partPrefix = 'part-';
/** Fingerprints are part of datagrams. */
const maxPartIdLength = 40;

export function createRequestIdentity(request: CallerRequest): RequestIdentity {
  let fingerprint: string | undefined;
  return {
    fingerprint() {
      fingerprint ??= computeRequestFingerprint(request);
      return fingerprint;
    },
    partFingerprints: (request.sharedParts ?? []).map(partFingerprintOf),
  };
}

/** Parts are compared by the ids that callers state, whoever sends them. */
export function partFingerprintOf(partId: string): string {
  return `${partPrefix}${partId.length <= maxPartIdLength ? partId : digestParts([partId])}`;
}
