/** `bluebellctl diff`: what applying a file would change. */
import type { PlatformApi } from '@bluebellhitch/objects';
import { printReport, failureReport, type CtlIo } from '../ctlIo';
import { findStoredDocument } from '../documentObject';
import { ctlExitCodes, describePlatformError, exitCodeOf, type CtlExitCode } from '../exitCodes';
import { describeLocal, isValid, localData, readLocalDocument } from '../localDocument';
import { renderChange } from '../render';
import { changesFromStored } from '../storedDiff';
import { exitCodeOfLocals } from './validateVerb';

export async function runDiff(
  platform: PlatformApi,
  io: CtlIo,
  file: string,
): Promise<CtlExitCode> {
  const local = await readLocalDocument(io, file);
  if (!isValid(local)) {
    const exitCode = exitCodeOfLocals([local]);
    return printReport(io, { exitCode, data: localData(local), lines: describeLocal(io, local) });
  }
  const { service } = local.document;
  const stored = await findStoredDocument(platform, service);
  if (stored.isErr()) {
    const report = failureReport(exitCodeOf(stored.error), describePlatformError(stored.error));
    return printReport(io, report);
  }
  const version = stored.value?.version ?? 0;
  const changes = changesFromStored(stored.value, local.document);
  return printReport(io, {
    exitCode: ctlExitCodes.ok,
    data: { service, version, comparable: changes !== undefined, changes: changes ?? [] },
    lines: [
      `${io.styles.bold(service)}: ${file} against version ${version} on the platform`,
      ...describeChanges(io, changes),
    ],
  });
}

export function describeChanges(
  io: CtlIo,
  changes: ReturnType<typeof changesFromStored>,
): string[] {
  if (changes === undefined) {
    return ['the text on the platform has findings and cannot be compared'];
  }
  return changes.length === 0
    ? ['no differences']
    : changes.map((change) => renderChange(io.styles, change));
}
