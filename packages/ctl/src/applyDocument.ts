/** Writes one valid document to the platform, on condition that its version has not changed meanwhile. */
import type { DocumentChange } from '@bluebellhitch/document';
import type { PlatformApi, PlatformError } from '@bluebellhitch/objects';
import { findStoredDocument, writeDocument, type StoredDocument } from './documentObject';
import type { ValidDocument } from './localDocument';
import { changesBetweenStored, changesFromStored } from './storedDiff';

export type ApplyOutcome =
  | { kind: 'written'; version: number; changes: DocumentChange[] | undefined }
  /** The platform already has the same text. */
  | { kind: 'unchanged'; version: number }
  | LostRace
  | { kind: 'failed'; error: PlatformError };

export interface LostRace {
  kind: 'lost-race';
  baseVersion: number;
  currentVersion: number;
  /** What others changed since the base version; `undefined` if the text of that version is not known. */
  changedInBetween?: DocumentChange[];
  /** What the file would change in the current version; this may revert changes of others. */
  changesNow?: DocumentChange[];
}

export interface ApplyOptions {
  local: ValidDocument;
  /** Version that the file was made from; defaults to the current version on the platform. */
  baseVersion?: number;
}

export async function applyDocument(
  platform: PlatformApi,
  { local, baseVersion }: ApplyOptions,
): Promise<ApplyOutcome> {
  const stored = await findStoredDocument(platform, local.document.service);
  if (stored.isErr()) {
    return { kind: 'failed', error: stored.error };
  }
  const base = stored.value;
  const currentVersion = base?.version ?? 0;
  if (base !== undefined && isSameText(base, local)) {
    return { kind: 'unchanged', version: currentVersion };
  }
  if (baseVersion !== undefined && baseVersion !== currentVersion) {
    return createLostRace(local, { baseVersion, current: base });
  }
  return writeNewVersion(platform, local, base);
}

async function writeNewVersion(
  platform: PlatformApi,
  local: ValidDocument,
  base: StoredDocument | undefined,
): Promise<ApplyOutcome> {
  const { service } = local.document;
  const written = await writeDocument(platform, service, base?.version ?? 0, local.value);
  if (written.isOk()) {
    const changes = changesFromStored(base, local.document);
    return { kind: 'written', version: written.value.version, changes };
  }
  switch (written.error.kind) {
    case 'conflict':
    case 'not-found':
    case 'unknown-outcome':
      return verifyWrite(platform, local, base, written.error);
    case 'rate-limited':
    case 'unavailable':
    case 'rejected':
      return { kind: 'failed', error: written.error };
    default:
      return written.error satisfies never;
  }
}

/**
 * Reads the document back after a conflict or a lost response. If the platform now has our text, the write took
 * effect and only its response was lost. If the version is unchanged, the outcome stays open, because the write may
 * still arrive.
 */
async function verifyWrite(
  platform: PlatformApi,
  local: ValidDocument,
  base: StoredDocument | undefined,
  error: PlatformError,
): Promise<ApplyOutcome> {
  const readBack = await findStoredDocument(platform, local.document.service);
  if (readBack.isErr()) {
    return { kind: 'failed', error };
  }
  const current = readBack.value;
  const baseVersion = base?.version ?? 0;
  if (current !== undefined && isSameText(current, local)) {
    const changes = changesFromStored(base, local.document);
    return { kind: 'written', version: current.version, changes };
  }
  if ((current?.version ?? 0) === baseVersion) {
    return { kind: 'failed', error };
  }
  return createLostRace(local, { baseVersion, base, current });
}

interface RaceVersions {
  baseVersion: number;
  base?: StoredDocument;
  current?: StoredDocument;
}

function createLostRace(
  local: ValidDocument,
  { baseVersion, base, current }: RaceVersions,
): LostRace {
  const changedInBetween =
    base !== undefined && current !== undefined ? changesBetweenStored(base, current) : undefined;
  return {
    kind: 'lost-race',
    baseVersion,
    currentVersion: current?.version ?? 0,
    changedInBetween,
    changesNow: changesFromStored(current, local.document),
  };
}

function isSameText(stored: StoredDocument, local: ValidDocument): boolean {
  return stored.text === local.value.text && stored.format === local.value.format;
}
