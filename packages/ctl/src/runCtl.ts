/** Runs one command line of `bluebellctl`. */
import type { PlatformApi } from '@bluebellhitch/objects';
import { formatFindings, type Finding } from '@bluebellhitch/shared';
import { parseCommandLine, type CommandLine, type CtlFlags } from './commandLine';
import { printReport, type CtlIo } from './ctlIo';
import { ctlExitCodes, type CtlExitCode } from './exitCodes';
import { runApply } from './verbs/applyVerb';
import { runDiff } from './verbs/diffVerb';
import { runDrain } from './verbs/drainVerb';
import { runExplain } from './verbs/explainVerb';
import { runGet, runList } from './verbs/getVerb';
import { runQuarantineEdit, runQuarantineList } from './verbs/quarantineVerb';
import { runStatus } from './verbs/statusVerb';
import { runValidate } from './verbs/validateVerb';

export interface RunCtlOptions {
  argv: readonly string[];
  env: Readonly<Record<string, string | undefined>>;
  version: string;
  io: CtlIo;
  connect(address: string): PlatformApi;
}

export async function runCtl(options: RunCtlOptions): Promise<CtlExitCode> {
  const { argv, env, version, connect } = options;
  const commandLine = parseCommandLine(argv, env);
  if (commandLine.isErr()) {
    return printUsageFindings({ ...options.io, json: argv.includes('--json') }, commandLine.error);
  }
  const command = commandLine.value;
  switch (command.kind) {
    case 'help':
      options.io.writeOutput(`${command.text}\n`);
      return ctlExitCodes.ok;
    case 'version':
      options.io.writeOutput(`${version}\n`);
      return ctlExitCodes.ok;
    case 'verb':
      return runVerb({ ...options.io, json: command.flags.json }, command, connect);
    default:
      return command satisfies never;
  }
}

type VerbCommand = Extract<CommandLine, { kind: 'verb' }>;

async function runVerb(
  io: CtlIo,
  command: VerbCommand,
  connect: (address: string) => PlatformApi,
): Promise<CtlExitCode> {
  const { verb, args, flags } = command;
  const { platformUrl } = flags;
  const platform = platformUrl === undefined ? undefined : connect(platformUrl);
  if (verb === 'validate') {
    return runValidate(io, args);
  }
  const [first = ''] = args;
  if (verb === 'explain') {
    return runExplain(io, { requestId: first, adminAddresses: flags.admin, platform });
  }
  if (platform === undefined) {
    return printUsageFindings(io, [
      {
        path: '--platform-url (BLUEBELL_PLATFORM_URL)',
        message: `${verb} needs the address of the platform`,
      },
    ]);
  }
  return runPlatformVerb({ platform, io, verb, args, flags });
}

interface PlatformVerbOptions {
  platform: PlatformApi;
  io: CtlIo;
  verb: Exclude<VerbCommand['verb'], 'validate' | 'explain'>;
  args: readonly string[];
  flags: CtlFlags;
}

async function runPlatformVerb(options: PlatformVerbOptions): Promise<CtlExitCode> {
  const { platform, io, verb, args, flags } = options;
  const [first] = args;
  switch (verb) {
    case 'diff':
      return runDiff(platform, io, first ?? '');
    case 'apply':
      return runApplyCommand(options);
    case 'get':
      return runGet(platform, io, first ?? '');
    case 'list':
      return runList(platform, io);
    case 'status':
      return runStatus(platform, io, { service: first, adminAddresses: flags.admin });
    case 'drain':
    case 'undrain': {
      const { service } = flags;
      return runDrain(platform, io, { instanceId: first ?? '', action: verb, service });
    }
    case 'quarantine':
      return runQuarantineCommand(options);
    default:
      return verb satisfies never;
  }
}

function runApplyCommand({ platform, io, args, flags }: PlatformVerbOptions): Promise<CtlExitCode> {
  const { baseVersion, waitMs } = flags;
  if (baseVersion !== undefined && args.length > 1) {
    const message = 'can be used with one file only, because each document has its own version';
    return Promise.resolve(printUsageFindings(io, [{ path: '--base-version', message }]));
  }
  return runApply(platform, io, { files: args, baseVersion, waitMs });
}

function runQuarantineCommand({
  platform,
  io,
  args,
  flags,
}: PlatformVerbOptions): Promise<CtlExitCode> {
  const [action, fingerprint] = args;
  const { service } = flags;
  if (action === 'list' && fingerprint === undefined) {
    return runQuarantineList(platform, io, service);
  }
  if ((action === 'release' || action === 'block') && fingerprint !== undefined) {
    return runQuarantineEdit(platform, io, { action, fingerprint, service });
  }
  const message = 'expects list, release FINGERPRINT or block FINGERPRINT';
  return Promise.resolve(printUsageFindings(io, [{ path: 'quarantine', message }]));
}

function printUsageFindings(io: CtlIo, findings: Finding[]): CtlExitCode {
  return printReport(io, {
    exitCode: ctlExitCodes.invalidArguments,
    data: { findings },
    lines: ['bluebellctl: invalid arguments', formatFindings(findings)],
  });
}
