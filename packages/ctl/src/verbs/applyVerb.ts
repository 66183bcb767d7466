/** `bluebellctl apply`: writes documents conditionally, and only if all of them are valid. */
import type { ServiceStatus } from '@bluebellhitch/duties';
import type { PlatformApi } from '@bluebellhitch/objects';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { applyDocument, type ApplyOutcome, type LostRace } from '../applyDocument';
import { printReport, type CtlIo } from '../ctlIo';
import { ctlExitCodes, describePlatformError, exitCodeOf, type CtlExitCode } from '../exitCodes';
import {
  describeLocal,
  isValid,
  localData,
  readLocalDocument,
  type ValidDocument,
} from '../localDocument';
import { formatCount, indent, renderFinding } from '../render';
import { findStatus } from '../serviceState';
import { describeChanges } from './diffVerb';
import { exitCodeOfLocals } from './validateVerb';

export interface ApplyVerbOptions {
  files: readonly string[];
  /** Overrides the version note in the file. */
  baseVersion?: number;
  /** How long to wait until the edit is accepted or rejected; 0 does not wait. */
  waitMs: number;
}

interface AppliedDocument {
  local: ValidDocument;
  outcome: ApplyOutcome;
  /** Whether the edit was accepted; absent if this was not waited for or not known in time. */
  status?: ServiceStatus;
  exitCode: CtlExitCode;
}

const pollIntervalMs = 200;

export async function runApply(
  platform: PlatformApi,
  io: CtlIo,
  { files, baseVersion, waitMs }: ApplyVerbOptions,
): Promise<CtlExitCode> {
  const locals = await Promise.all(files.map((file) => readLocalDocument(io, file)));
  const valid = locals.filter(isValid);
  if (valid.length < locals.length) {
    return printReport(io, {
      exitCode: exitCodeOfLocals(locals),
      data: { documents: locals.map(localData), applied: [] },
      lines: [...locals.flatMap((local) => describeLocal(io, local)), 'nothing was applied'],
    });
  }
  const applied = await valid.reduce<Promise<AppliedDocument[]>>(
    async (earlier, local) => [
      ...(await earlier),
      await applyOne(platform, io, { local, baseVersion, waitMs }),
    ],
    Promise.resolve([]),
  );
  return printReport(io, {
    exitCode: Math.max(...applied.map(({ exitCode }) => exitCode)) as CtlExitCode,
    data: { applied: applied.map(appliedData) },
    lines: applied.flatMap((document) => describeApplied(io, document)),
  });
}

interface ApplyOneOptions {
  local: ValidDocument;
  baseVersion?: number;
  waitMs: number;
}

async function applyOne(
  platform: PlatformApi,
  io: CtlIo,
  { local, baseVersion = local.baseVersion, waitMs }: ApplyOneOptions,
): Promise<AppliedDocument> {
  const outcome = await applyDocument(platform, { local, baseVersion });
  if (outcome.kind !== 'written' || waitMs === 0) {
    return { local, outcome, exitCode: exitCodeOfOutcome(outcome) };
  }
  const { service } = local.document;
  const status = await waitForStatus(platform, io, { service, version: outcome.version, waitMs });
  return { local, outcome, status, exitCode: exitCodeOfStatus(status) };
}

interface WaitForStatusOptions {
  service: string;
  version: number;
  waitMs: number;
}

async function waitForStatus(
  platform: PlatformApi,
  io: CtlIo,
  { service, version, waitMs }: WaitForStatusOptions,
): Promise<ServiceStatus | undefined> {
  const deadlineMs = monotonicNowMs() + waitMs;
  while (monotonicNowMs() < deadlineMs) {
    const status = (await findStatus(platform, service)).unwrapOr(undefined);
    if (status !== undefined && status.documentVersion >= version) {
      return status;
    }
    await io.delay(pollIntervalMs);
  }
  return undefined;
}

function exitCodeOfOutcome(outcome: ApplyOutcome): CtlExitCode {
  switch (outcome.kind) {
    case 'written':
    case 'unchanged':
      return ctlExitCodes.ok;
    case 'lost-race':
      return ctlExitCodes.lostRace;
    case 'failed':
      return exitCodeOf(outcome.error);
    default:
      return outcome satisfies never;
  }
}

function exitCodeOfStatus(status: ServiceStatus | undefined): CtlExitCode {
  if (status === undefined) {
    return ctlExitCodes.failure;
  }
  return status.state === 'accepted' ? ctlExitCodes.ok : ctlExitCodes.findings;
}

function appliedData({ local, outcome, status }: AppliedDocument): Record<string, unknown> {
  const { file, document } = local;
  return {
    file,
    service: document.service,
    ...outcome,
    ...(status === undefined ? {} : { status }),
  };
}

function describeApplied(io: CtlIo, applied: AppliedDocument): string[] {
  const { local, outcome } = applied;
  const name = io.styles.bold(local.document.service);
  switch (outcome.kind) {
    case 'written':
      return [
        `${name}: written as version ${outcome.version}`,
        ...indent(describeChanges(io, outcome.changes)),
        ...describeStatus(io, applied),
      ];
    case 'unchanged':
      return [`${name}: version ${outcome.version} already has this text`];
    case 'lost-race':
      return [
        io.styles.failure(`${name}: ${describeRace(outcome)}`),
        ...describeRaceChanges(io, outcome),
      ];
    case 'failed':
      return [io.styles.failure(`${name}: ${describePlatformError(outcome.error)}`)];
    default:
      return outcome satisfies never;
  }
}

function describeRace({ baseVersion, currentVersion }: LostRace): string {
  return (
    `not written: made from version ${baseVersion}, but the platform has ${currentVersion}. ` +
    'Get the current document and repeat the edit'
  );
}

function describeRaceChanges(io: CtlIo, race: LostRace): string[] {
  return race.changedInBetween === undefined
    ? [
        '  differences from the current document to the file:',
        ...indent(describeChanges(io, race.changesNow)),
      ]
    : ['  changed in the meantime:', ...indent(describeChanges(io, race.changedInBetween))];
}

function describeStatus(io: CtlIo, { local, outcome, status }: AppliedDocument): string[] {
  if (status === undefined) {
    return [`  not accepted or rejected yet: see bluebellctl status ${local.document.service}`];
  }
  const findings = indent(status.findings.map((finding) => renderFinding(local.file, finding)));
  if (status.state === 'accepted') {
    return [io.styles.success(`  accepted as generation ${status.generation}`), ...findings];
  }
  const version = outcome.kind === 'written' ? outcome.version : status.documentVersion;
  return [
    ...findings,
    io.styles.failure(
      `  version ${version} was rejected with ${formatCount(status.findings.length, 'finding')}; ` +
        `generation ${status.generation} stays in force`,
    ),
  ];
}
