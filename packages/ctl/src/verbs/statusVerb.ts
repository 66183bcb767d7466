/** `bluebellctl status`: whether the last edit was accepted, and which generation each process uses. */
import { err, ok, Result } from 'neverthrow';
import { objectKinds, type PlatformApi, type PlatformError } from '@bluebellhitch/objects';
import { adminAddresses, fetchConfigs } from '../adminPorts';
import { failureReport, printReport, type CtlIo } from '../ctlIo';
import { findStoredDocument } from '../documentObject';
import { ctlExitCodes, describePlatformError, exitCodeOf, type CtlExitCode } from '../exitCodes';
import { describeService, serviceData, type FleetView, type ServiceView } from '../serviceReport';
import {
  findAccepted,
  findStatus,
  evaluateQuarantine,
  listQuarantineRecords,
  type QuarantineRecord,
} from '../serviceState';

export interface StatusVerbOptions {
  /** Default: all services. */
  service?: string;
  adminAddresses: readonly string[];
}

export async function runStatus(
  platform: PlatformApi,
  io: CtlIo,
  options: StatusVerbOptions,
): Promise<CtlExitCode> {
  const views = await readViews(platform, options.service);
  if (views.isErr()) {
    const report = failureReport(exitCodeOf(views.error), describePlatformError(views.error));
    return printReport(io, report);
  }
  if (options.service !== undefined && views.value[0]?.documentVersion === undefined) {
    const message = `${options.service}: the platform has no such document`;
    return printReport(io, failureReport(ctlExitCodes.failure, message));
  }
  const fleet = await readFleet(platform, io, options.adminAddresses);
  return printReport(io, {
    exitCode: ctlExitCodes.ok,
    data: { services: views.value.map((view) => serviceData(view, fleet)) },
    lines: views.value
      .flatMap((view) => [...describeService(io.styles, view, fleet), ''])
      .slice(0, -1),
  });
}

async function readViews(
  platform: PlatformApi,
  service: string | undefined,
): Promise<Result<ServiceView[], PlatformError>> {
  const services = await readServiceNames(platform, service);
  if (services.isErr()) {
    return err(services.error);
  }
  const records = await listQuarantineRecords(platform);
  if (records.isErr()) {
    return err(records.error);
  }
  const views = await services.value.reduce<Promise<Result<ServiceView, PlatformError>[]>>(
    async (earlier, name) => [...(await earlier), await readView(platform, name, records.value)],
    Promise.resolve([]),
  );
  return Result.combine(views);
}

async function readServiceNames(
  platform: PlatformApi,
  service: string | undefined,
): Promise<Result<string[], PlatformError>> {
  return service === undefined
    ? platform.list(objectKinds.document).map(({ objects }) => objects.map(({ key }) => key).sort())
    : ok([service]);
}

async function readView(
  platform: PlatformApi,
  service: string,
  records: readonly QuarantineRecord[],
): Promise<Result<ServiceView, PlatformError>> {
  const stored = await findStoredDocument(platform, service);
  const status = await findStatus(platform, service);
  const accepted = await findAccepted(platform, service);
  return stored.andThen((document) =>
    status.andThen((statusValue) =>
      accepted.map((acceptedValue) => ({
        service,
        documentVersion: document?.version,
        status: statusValue,
        accepted: acceptedValue,
        quarantine:
          acceptedValue === undefined
            ? []
            : evaluateQuarantine(acceptedValue.document, records, Date.now()),
      })),
    ),
  );
}

/** If the list of instances is unavailable, the processes given by address are still queried. */
async function readFleet(
  platform: PlatformApi,
  io: CtlIo,
  given: readonly string[],
): Promise<FleetView> {
  const instances = (await platform.instances()).unwrapOr([]);
  const processes = await fetchConfigs(io, adminAddresses(given, instances));
  return { instances, processes };
}
