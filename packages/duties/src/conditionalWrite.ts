/** Create or update under the version that was read, with the outcome as one tagged union. */
import type { ObjectKind, PlatformApi, PlatformError, StoredObject } from '@bluebellhitch/objects';

export type WriteOutcome =
  | { kind: 'written'; object: StoredObject }
  /** Somebody wrote in between, or our own answer was lost: read back before anything else. */
  | { kind: 'read-back' }
  /** Certainly without effect: try the same again later. */
  | { kind: 'later' }
  /** The platform will never take this value. */
  | { kind: 'refused'; detail: string };

export interface ConditionalWrite {
  kind: ObjectKind;
  key: string;
  /** Version that must still be there; absent: the object must not exist. */
  expectedVersion?: number;
  value: unknown;
}

export async function writeConditionally(
  platform: PlatformApi,
  write: ConditionalWrite,
): Promise<WriteOutcome> {
  const { kind, key, expectedVersion, value } = write;
  const result =
    expectedVersion === undefined
      ? await platform.create(kind, key, value)
      : await platform.update(kind, key, expectedVersion, value);
  return result.match<WriteOutcome>((object) => ({ kind: 'written', object }), failedOutcome);
}

function failedOutcome(error: PlatformError): WriteOutcome {
  switch (error.kind) {
    case 'conflict':
    case 'not-found':
    case 'unknown-outcome':
      return { kind: 'read-back' };
    case 'rate-limited':
    case 'unavailable':
      return { kind: 'later' };
    case 'rejected':
      return { kind: 'refused', detail: error.detail };
    default:
      return error satisfies never;
  }
}
