/** `bluebellctl apply`: writes documents conditionally, all of them valid or none written. */
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
import { countOf, indent, renderFinding } from '../render';
import { findStatus } from '../serviceState';
import { describeChanges } from './diffVerb';
import { exitCodeOfLocals } from './validateVerb';

export interface ApplyVerbOptions {
  files: readonly string[];
  /** Overrides the version noted in the file. */
  baseVersion?: number;
  /** How long to wait for the verdict on the edit; 0 does not wait. */
  waitMs: number;
}

interface AppliedDocument {
  local: ValidDocument;
  outcome: ApplyOutcome;
  /** The verdict on this edit, where it was waited for and came. */
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
  const status = await awaitVerdict(platform, io, { service, version: outcome.version, waitMs });
  return { local, outcome, status, exitCode: exitCodeOfVerdict(status) };
}

interface AwaitVerdictOptions {
  service: string;
  version: number;
  waitMs: number;
}

async function awaitVerdict(
  platform: PlatformApi,
  io: CtlIo,
  { service, version, waitMs }: AwaitVerdictOptions,
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

function exitCodeOfVerdict(status: ServiceStatus | undefined): CtlExitCode {
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
  const name = io.paint.strong(local.document.service);
  switch (outcome.kind) {
    case 'written':
      return [
        `${name}: written as version ${outcome.version}`,
        ...indent(describeChanges(io, outcome.changes)),
        ...describeVerdict(io, applied),
      ];
    case 'unchanged':
      return [`${name}: version ${outcome.version} says so already`];
    case 'lost-race':
      return [
        io.paint.bad(`${name}: ${describeRace(outcome)}`),
        ...describeRaceChanges(io, outcome),
      ];
    case 'failed':
      return [io.paint.bad(`${name}: ${describePlatformError(outcome.error)}`)];
    default:
      return outcome satisfies never;
  }
}

function describeRace({ baseVersion, currentVersion }: LostRace): string {
  return (
    `not written: made from version ${baseVersion}, but the platform has ${currentVersion}. ` +
    'Get the current document, and make the edit again'
  );
}

function describeRaceChanges(io: CtlIo, race: LostRace): string[] {
  return race.changedInBetween === undefined
    ? [
        '  differences from the current document to the file:',
        ...indent(describeChanges(io, race.changesNow)),
      ]
    : ['  changed in between:', ...indent(describeChanges(io, race.changedInBetween))];
}

function describeVerdict(io: CtlIo, { local, outcome, status }: AppliedDocument): string[] {
  if (status === undefined) {
    return [`  not judged yet: see bluebellctl status ${local.document.service}`];
  }
  const findings = indent(status.findings.map((finding) => renderFinding(local.file, finding)));
  if (status.state === 'accepted') {
    return [io.paint.good(`  accepted as generation ${status.generation}`), ...findings];
  }
  const version = outcome.kind === 'written' ? outcome.version : status.documentVersion;
  return [
    ...findings,
    io.paint.bad(
      `  version ${version} was rejected with ${countOf(status.findings.length, 'finding')}; ` +
        `generation ${status.generation} stays in force`,
    ),
  ];
}
