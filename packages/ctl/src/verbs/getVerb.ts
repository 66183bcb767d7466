/** `bluebellctl get` and `list`: print a document and the list of all documents on the platform. */
import type { PlatformApi } from '@bluebellhitch/objects';
import { addVersionNote } from '../baseVersion';
import { failureReport, printReport, type CtlIo } from '../ctlIo';
import { listStoredDocuments, readStoredDocument } from '../documentObject';
import { ctlExitCodes, describePlatformError, exitCodeOf, type CtlExitCode } from '../exitCodes';
import { renderTable } from '../render';

/** Prints the text with a note of its version, which `apply` checks. */
export async function runGet(
  platform: PlatformApi,
  io: CtlIo,
  service: string,
): Promise<CtlExitCode> {
  const stored = await readStoredDocument(platform, service);
  return stored.match(
    ({ version, format, text }) =>
      printReport(io, {
        exitCode: ctlExitCodes.ok,
        data: { service, version, format, text },
        lines: [addVersionNote(text, format, version).replace(/\n$/, '')],
      }),
    (error) => {
      const message = `${service}: ${describePlatformError(error)}`;
      return printReport(io, failureReport(exitCodeOf(error), message));
    },
  );
}

export async function runList(platform: PlatformApi, io: CtlIo): Promise<CtlExitCode> {
  const stored = await listStoredDocuments(platform);
  return stored.match(
    (documents) =>
      printReport(io, {
        exitCode: ctlExitCodes.ok,
        data: {
          documents: documents.map(({ service, version, format }) => ({
            service,
            version,
            format,
          })),
        },
        lines: renderTable(
          ['SERVICE', 'VERSION', 'FORMAT'],
          documents.map(({ service, version, format }) => [service, String(version), format]),
        ),
      }),
    (error) => printReport(io, failureReport(exitCodeOf(error), describePlatformError(error))),
  );
}
