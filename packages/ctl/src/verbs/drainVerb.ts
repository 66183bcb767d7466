/** `bluebellctl drain` and `undrain`: conditional edits of `drain.instances`. */
import { err, ok, type Result } from 'neverthrow';
import { parseDocument } from '@bluebellhitch/document';
import type { PlatformApi } from '@bluebellhitch/objects';
import { failureReport, printReport, type CtlIo, type Report } from '../ctlIo';
import { listStoredDocuments, type StoredDocument } from '../documentObject';
import { editDocument } from '../editDocument';
import { ctlExitCodes, describePlatformError, exitCodeOf, type CtlExitCode } from '../exitCodes';
import { editReport } from './editReport';

export interface DrainVerbOptions {
  instanceId: string;
  action: 'drain' | 'undrain';
  /** Default: looked up in the list of instances, then in the documents that drain the instance. */
  service?: string;
}

export async function runDrain(
  platform: PlatformApi,
  io: CtlIo,
  options: DrainVerbOptions,
): Promise<CtlExitCode> {
  const { instanceId, action } = options;
  const service = await findService(platform, options);
  if (service.isErr()) {
    return printReport(io, service.error);
  }
  const outcome = await editDocument(platform, service.value, [
    {
      path: ['drain', 'instances'],
      action: action === 'drain' ? 'add' : 'remove',
      item: instanceId,
    },
  ]);
  const effect =
    action === 'drain' ? `${instanceId} takes no new work` : `${instanceId} may take new work`;
  return printReport(io, editReport(io, { service: service.value, effect, outcome }));
}

async function findService(
  platform: PlatformApi,
  { instanceId, service }: DrainVerbOptions,
): Promise<Result<string, Report>> {
  if (service !== undefined) {
    return ok(service);
  }
  const instances = await platform.instances();
  if (instances.isErr()) {
    const error = describePlatformError(instances.error);
    return err(
      failureReport(exitCodeOf(instances.error), `${error}; name the service with --service`),
    );
  }
  const listed = instances.value.find(({ id }) => id === instanceId);
  if (listed?.kind === 'entry') {
    return err(
      failureReport(
        ctlExitCodes.invalidArguments,
        `${instanceId} is an entry, which belongs to no document: stop it with SIGTERM`,
      ),
    );
  }
  return listed?.service === undefined
    ? findDrainingDocument(platform, instanceId)
    : ok(listed.service);
}

/** Finds an instance that is no longer in the list by the document that drains it. */
async function findDrainingDocument(
  platform: PlatformApi,
  instanceId: string,
): Promise<Result<string, Report>> {
  const documents = await listStoredDocuments(platform);
  if (documents.isErr()) {
    const error = describePlatformError(documents.error);
    return err(failureReport(exitCodeOf(documents.error), error));
  }
  const draining = documents.value.find((stored) => drainsInstance(stored, instanceId));
  return draining === undefined
    ? err(
        failureReport(
          ctlExitCodes.invalidArguments,
          `${instanceId} is not in the list of instances: name its service with --service`,
        ),
      )
    : ok(draining.service);
}

function drainsInstance({ text, format }: StoredDocument, instanceId: string): boolean {
  return parseDocument(text, { format })
    .map(({ document }) => document.drain.instances.includes(instanceId))
    .unwrapOr(false);
}
