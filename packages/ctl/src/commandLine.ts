/** Parses the command line of `bluebellctl`: verbs, flags and settings. Reports all findings together. */
import meow from 'meow';
import { err, ok, type Result } from 'neverthrow';
import { environmentName, flagName, type Finding } from '@bluebellhitch/shared';
import { helpOfVerb, overviewText, verbs, type VerbName } from './verbHelp';

export interface CtlFlags {
  platformUrl?: string;
  json: boolean;
  admin: string[];
  service?: string;
  baseVersion?: number;
  waitMs: number;
}

export type CommandLine =
  | { kind: 'help'; text: string }
  | { kind: 'version' }
  | { kind: 'verb'; verb: VerbName; args: string[]; flags: CtlFlags };

type Environment = Readonly<Record<string, string | undefined>>;

const flagTypes = {
  platformUrl: { type: 'string' },
  json: { type: 'boolean', default: false },
  admin: { type: 'string', isMultiple: true },
  service: { type: 'string' },
  baseVersion: { type: 'string' },
  waitMs: { type: 'string' },
  help: { type: 'boolean', shortFlag: 'h', default: false },
  version: { type: 'boolean', default: false },
} as const;

export function parseCommandLine(
  argv: readonly string[],
  env: Environment,
): Result<CommandLine, Finding[]> {
  const { input, flags } = meow('', {
    importMeta: import.meta,
    argv: [...argv],
    flags: flagTypes,
    pkg: { name: 'bluebellctl' },
    autoHelp: false,
    autoVersion: false,
  });
  const [verb, ...args] = input;
  if (flags.version) {
    return ok({ kind: 'version' });
  }
  if (verb === undefined || flags.help) {
    return ok({ kind: 'help', text: isVerb(verb) ? helpOfVerb(verb) : overviewText() });
  }
  if (!isVerb(verb)) {
    return err([{ path: verb, message: 'unknown verb', hint: 'see bluebellctl --help' }]);
  }
  const parsed = parseFlags(flags, env);
  const findings = [
    ...unknownFlagFindings(flags),
    ...argCountFindings(verb, args),
    ...parsed.findings,
  ];
  return findings.length > 0
    ? err(findings)
    : ok({ kind: 'verb', verb, args, flags: parsed.values });
}

type RawFlags = Readonly<Record<string, unknown>> & {
  platformUrl?: string;
  json: boolean;
  admin?: string[];
  service?: string;
  baseVersion?: string;
  waitMs?: string;
};

function parseFlags(flags: RawFlags, env: Environment): { values: CtlFlags; findings: Finding[] } {
  const platformUrl = flags.platformUrl || env[environmentName('platformUrl')] || undefined;
  const values = {
    platformUrl,
    json: flags.json,
    admin: flags.admin ?? [],
    service: flags.service,
    baseVersion: flags.baseVersion === undefined ? undefined : Number(flags.baseVersion),
    waitMs: Number(flags.waitMs ?? 0),
  };
  const urls = platformUrl === undefined ? [] : urlFindings('platformUrl', platformUrl);
  const findings = [
    ...urls,
    ...values.admin.flatMap((address) => urlFindings('admin', address)),
    ...integerFindings('baseVersion', values.baseVersion ?? 0),
    ...integerFindings('waitMs', values.waitMs),
  ];
  return { values, findings };
}

function urlFindings(name: string, text: string): Finding[] {
  const isHttpAddress = URL.canParse(text) && /^https?:$/.test(new URL(text).protocol);
  return isHttpAddress
    ? []
    : [{ path: flagName(name), message: `${text} is not an http:// address` }];
}

function integerFindings(name: string, value: number): Finding[] {
  return Number.isInteger(value) && value >= 0
    ? []
    : [{ path: flagName(name), message: 'must be a whole number, 0 or above' }];
}

function unknownFlagFindings(flags: Readonly<Record<string, unknown>>): Finding[] {
  return Object.keys(flags)
    .filter((name) => !(name in flagTypes))
    .map((name) => ({ path: flagName(name), message: 'unknown flag' }));
}

function argCountFindings(verb: VerbName, args: readonly string[]): Finding[] {
  const { usage, minArgs, maxArgs } = verbs[verb];
  return args.length >= minArgs && args.length <= maxArgs
    ? []
    : [{ path: verb, message: 'wrong number of arguments', hint: `bluebellctl ${usage}` }];
}

function isVerb(text: string | undefined): text is VerbName {
  return text !== undefined && Object.hasOwn(verbs, text);
}
