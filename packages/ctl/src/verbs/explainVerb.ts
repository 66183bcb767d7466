/** `bluebellctl explain`: prints the decision record of one request, step by step. */
import * as z from 'zod';
import type { PlatformApi } from '@bluebellhitch/objects';
import { adminAddresses, queryAll } from '../adminPorts';
import { failureReport, printReport, type CtlIo, type TextStyles } from '../ctlIo';
import { ctlExitCodes, type CtlExitCode } from '../exitCodes';
import { indent } from '../render';

const decisionRecordSchema = z.object({
  requestId: z.string(),
  service: z.string(),
  institution: z.string(),
  className: z.string(),
  startedAt: z.string(),
  fingerprint: z.string().optional(),
  steps: z.array(
    z.object({ atMs: z.number(), kind: z.string(), detail: z.record(z.string(), z.unknown()) }),
  ),
  outcome: z.string(),
});
type DecisionRecord = z.infer<typeof decisionRecordSchema>;

export interface ExplainVerbOptions {
  requestId: string;
  adminAddresses: readonly string[];
  /** Source of the list of processes. If it is unavailable, the processes given by address are still queried. */
  platform?: PlatformApi;
}

type RecordLookup =
  | { kind: 'found'; address: string; record: DecisionRecord }
  | { kind: 'absent'; address: string }
  | { kind: 'silent'; address: string; detail: string };

export async function runExplain(io: CtlIo, options: ExplainVerbOptions): Promise<CtlExitCode> {
  const { requestId, platform, adminAddresses: given } = options;
  const instances = platform === undefined ? [] : (await platform.instances()).unwrapOr([]);
  const addresses = adminAddresses(given, instances);
  if (addresses.length === 0) {
    const message = 'no admin port is known: name those of the entries with --admin http://ip:port';
    return printReport(io, failureReport(ctlExitCodes.invalidArguments, message));
  }
  const lookups = await queryAll(addresses, (address) => fetchRecord(io, address, requestId));
  const found = lookups.flatMap((lookup) => (lookup.kind === 'found' ? [lookup] : []));
  return found.length === 0
    ? printReport(io, notFoundReport(requestId, lookups))
    : printReport(io, {
        exitCode: ctlExitCodes.ok,
        data: { records: found.map(({ address, record }) => ({ address, ...record })) },
        lines: found.flatMap(({ address, record }) => describeRecord(io.styles, address, record)),
      });
}

async function fetchRecord(io: CtlIo, address: string, requestId: string): Promise<RecordLookup> {
  const path = `/debug/decisions/${encodeURIComponent(requestId)}`;
  const response = await io.readAdmin(address, path);
  if (response.isErr()) {
    return response.error.kind === 'not-found'
      ? { kind: 'absent', address }
      : { kind: 'silent', address, detail: response.error.detail };
  }
  const record = decisionRecordSchema.safeParse(response.value);
  return record.success
    ? { kind: 'found', address, record: record.data }
    : { kind: 'silent', address, detail: 'returns the record in an unknown format' };
}

function notFoundReport(requestId: string, lookups: readonly RecordLookup[]) {
  const unresponsive = lookups.flatMap((lookup) =>
    lookup.kind === 'silent' ? [`${lookup.address}: ${lookup.detail}`] : [],
  );
  const message = `${requestId}: no process that answered has a record of it; each keeps only its most recent records`;
  return {
    exitCode: ctlExitCodes.failure,
    data: { error: message, silent: unresponsive },
    lines: [message, ...unresponsive],
  };
}

function describeRecord(styles: TextStyles, address: string, record: DecisionRecord): string[] {
  const { requestId, service, institution, className, startedAt, fingerprint, outcome } = record;
  return [
    styles.bold(`${requestId}: ${outcome === '' ? 'still running' : outcome}`),
    ...indent([
      `request to ${service} from ${institution}, class ${className}, at ${startedAt}`,
      `recorded by ${address}`,
      ...(fingerprint === undefined ? [] : [`fingerprint ${fingerprint}`]),
      ...record.steps.map((step) => describeStep(styles, step)),
    ]),
  ];
}

function describeStep(
  styles: TextStyles,
  { atMs, kind, detail }: DecisionRecord['steps'][number],
): string {
  const time = `${atMs.toFixed(1).padStart(9)} ms`;
  const kindWords = kind.replaceAll('-', ' ');
  const details = Object.entries(detail).map(
    ([name, value]) => `${toWords(name)} ${formatValue(value)}`,
  );
  return `${styles.dim(time)}  ${kindWords}${details.length === 0 ? '' : `: ${details.join(', ')}`}`;
}

/** Splits camel case: `usableInMs` becomes `usable in ms`. */
function toWords(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(formatValue).join('; ')}]`;
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value)
      .map(([name, inner]) => `${toWords(name)} ${formatValue(inner)}`)
      .join(' ');
  }
  return typeof value === 'number' ? String(Math.round(value * 1000) / 1000) : String(value);
}
