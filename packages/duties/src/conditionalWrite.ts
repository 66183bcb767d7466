/** Creates an object, or updates it on condition of its version; returns the outcome as a tagged union. */
import type { ObjectKind, PlatformApi, PlatformError, StoredObject } from '@bluebellhitch/objects';

export type WriteOutcome =
  | { kind: 'written'; object: StoredObject }
  /** Another write came first, or the response was lost: the object must be read again before the next write. */
  | { kind: 'read-back' }
  /** The write had no effect and may be repeated later. */
  | { kind: 'later' }
  /** The platform rejects this value for good. */
  | { kind: 'refused'; detail: string };

export interface ConditionalWrite {
  kind: ObjectKind;
  key: string;
  /** Version that the object must still have; absent: the object must not exist. */
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
