/** Conditional edits of the document on the platform: read, change, write if the version is unchanged. */
import { parseDocument } from '@bluebellhitch/document';
import type { PlatformApi, PlatformError } from '@bluebellhitch/objects';
import type { Finding } from '@bluebellhitch/shared';
import { readStoredDocument, writeDocument } from './documentObject';
import { editText, type ListEdit } from './editText';

export type EditOutcome =
  | { kind: 'written'; version: number }
  /** The document already has the requested content. */
  | { kind: 'unchanged'; version: number }
  /** The edited document would be rejected; nothing was written. */
  | { kind: 'findings'; findings: Finding[] }
  | { kind: 'lost-race'; attempts: number }
  | { kind: 'failed'; error: PlatformError };

const maxAttempts = 5;

/**
 * Retries after a version conflict, because the edit concerns one item of a list and is idempotent. The same loop
 * handles a lost response: if the write took effect, the next attempt finds nothing to change.
 */
export async function editDocument(
  platform: PlatformApi,
  service: string,
  edits: readonly ListEdit[],
  attempt = 1,
): Promise<EditOutcome> {
  const outcome = await tryEdit(platform, service, edits);
  const shouldRetry = outcome.kind === 'failed' && isRetryable(outcome.error);
  if (!shouldRetry) {
    return outcome;
  }
  if (attempt < maxAttempts) {
    return editDocument(platform, service, edits, attempt + 1);
  }
  return outcome.error.kind === 'conflict' ? { kind: 'lost-race', attempts: attempt } : outcome;
}

function isRetryable(error: PlatformError): boolean {
  return error.kind === 'conflict' || error.kind === 'unknown-outcome';
}

async function tryEdit(
  platform: PlatformApi,
  service: string,
  edits: readonly ListEdit[],
): Promise<EditOutcome> {
  const stored = await readStoredDocument(platform, service);
  if (stored.isErr()) {
    return { kind: 'failed', error: stored.error };
  }
  const { version, text, format } = stored.value;
  const parsedBefore = parseDocument(text, { format });
  if (parsedBefore.isErr()) {
    return { kind: 'findings', findings: parsedBefore.error };
  }
  const edited = editText({ text, format }, edits);
  if (edited === undefined) {
    return { kind: 'unchanged', version };
  }
  const parsedAfter = parseDocument(edited.text, { format });
  if (parsedAfter.isErr()) {
    return { kind: 'findings', findings: parsedAfter.error };
  }
  const written = await writeDocument(platform, service, version, edited);
  return written.match<EditOutcome>(
    (object) => ({ kind: 'written', version: object.version }),
    (error) => ({ kind: 'failed', error }),
  );
}
