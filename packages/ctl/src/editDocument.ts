/** Conditional edits of the document that the platform holds: read, change, write if unchanged. */
import { parseDocument } from '@bluebellhitch/document';
import type { PlatformApi, PlatformError } from '@bluebellhitch/objects';
import type { Finding } from '@bluebellhitch/shared';
import { readStoredDocument, writeDocument } from './documentObject';
import { editText, type ListEdit } from './editText';

export type EditOutcome =
  | { kind: 'written'; version: number }
  /** The document says so already. */
  | { kind: 'unchanged'; version: number }
  /** The edited document would be rejected; nothing was written. */
  | { kind: 'findings'; findings: Finding[] }
  | { kind: 'lost-race'; attempts: number }
  | { kind: 'failed'; error: PlatformError };

const maxAttempts = 5;

/**
 * Tries again after a lost race, because the edit concerns one item of a list and is idempotent. The
 * same loop settles a lost answer: where the write took effect, the next read finds nothing to do.
 */
export async function editDocument(
  platform: PlatformApi,
  service: string,
  edits: readonly ListEdit[],
  attempt = 1,
): Promise<EditOutcome> {
  const outcome = await tryEdit(platform, service, edits);
  const raced = outcome.kind === 'failed' && isWorthRepeating(outcome.error);
  if (!raced) {
    return outcome;
  }
  if (attempt < maxAttempts) {
    return editDocument(platform, service, edits, attempt + 1);
  }
  return outcome.error.kind === 'conflict' ? { kind: 'lost-race', attempts: attempt } : outcome;
}

function isWorthRepeating(error: PlatformError): boolean {
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
