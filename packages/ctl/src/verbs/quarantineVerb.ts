/** `bluebellctl quarantine`: lists refused requests, and edits the quarantine lists of a document. */
import { err, ok, type Result } from 'neverthrow';
import { acceptedDocumentSchema, type ServiceDocument } from '@bluebellhitch/document';
import { objectKinds, type PlatformApi, type PlatformError } from '@bluebellhitch/objects';
import { failureReport, printReport, type CtlIo } from '../ctlIo';
import { editDocument } from '../editDocument';
import type { ListEdit } from '../editText';
import { ctlExitCodes, describePlatformError, exitCodeOf, type CtlExitCode } from '../exitCodes';
import { describeQuarantineEntry } from '../serviceReport';
import { evaluateQuarantine, listQuarantineRecords, type QuarantineEntry } from '../serviceState';
import { editReport } from './editReport';

export async function runQuarantineList(
  platform: PlatformApi,
  io: CtlIo,
  service: string | undefined,
): Promise<CtlExitCode> {
  const entries = await readEntries(platform);
  if (entries.isErr()) {
    const report = failureReport(exitCodeOf(entries.error), describePlatformError(entries.error));
    return printReport(io, report);
  }
  const shown = entries.value.filter((entry) => service === undefined || entry.service === service);
  return printReport(io, {
    exitCode: ctlExitCodes.ok,
    data: { quarantine: shown },
    lines:
      shown.length === 0
        ? ['no request has strikes or is quarantined or blocked']
        : shown.map((entry) => `${entry.service}: ${describeQuarantineEntry(entry)}`),
  });
}

export interface QuarantineEditOptions {
  action: 'release' | 'block';
  fingerprint: string;
  /** Default: the only service in which the fingerprint has strikes or is blocked. */
  service?: string;
}

export async function runQuarantineEdit(
  platform: PlatformApi,
  io: CtlIo,
  options: QuarantineEditOptions,
): Promise<CtlExitCode> {
  const { action, fingerprint } = options;
  const service = await findService(platform, options);
  if (service.isErr()) {
    return printReport(io, service.error);
  }
  const outcome = await editDocument(platform, service.value, editsOf(action, fingerprint));
  const effect =
    action === 'release' ? `${fingerprint} is released` : `${fingerprint} is refused from now on`;
  return printReport(io, editReport(io, { service: service.value, effect, outcome }));
}

function editsOf(action: 'release' | 'block', fingerprint: string): ListEdit[] {
  const opposite = action === 'release' ? 'block' : 'release';
  return [
    { path: ['quarantine', opposite], action: 'remove', item: fingerprint },
    { path: ['quarantine', action], action: 'add', item: fingerprint },
  ];
}

async function findService(platform: PlatformApi, options: QuarantineEditOptions) {
  const { fingerprint, service } = options;
  if (service !== undefined) {
    return ok(service);
  }
  const entries = await readEntries(platform);
  if (entries.isErr()) {
    return err(failureReport(exitCodeOf(entries.error), describePlatformError(entries.error)));
  }
  const services = entries.value
    .filter((entry) => entry.fingerprint === fingerprint)
    .map((entry) => entry.service);
  const [only, ...others] = services;
  return only !== undefined && others.length === 0
    ? ok(only)
    : err(failureReport(ctlExitCodes.invalidArguments, describeChoice(fingerprint, services)));
}

function describeChoice(fingerprint: string, services: readonly string[]): string {
  const candidates = services.length === 0 ? 'no service' : services.join(', ');
  return `${fingerprint} is known to ${candidates}: name the service with --service`;
}

async function readEntries(
  platform: PlatformApi,
): Promise<Result<QuarantineEntry[], PlatformError>> {
  const records = await listQuarantineRecords(platform);
  const documents = await listAcceptedDocuments(platform);
  return records.andThen((known) =>
    documents.map((accepted) =>
      accepted.flatMap((document) => evaluateQuarantine(document, known, Date.now())),
    ),
  );
}

function listAcceptedDocuments(platform: PlatformApi) {
  return platform.list(objectKinds.accepted).map(({ objects }) =>
    objects.flatMap<ServiceDocument>(({ value }) => {
      const accepted = acceptedDocumentSchema.safeParse(value);
      return accepted.success ? [accepted.data.document] : [];
    }),
  );
}
