/** `bluebellctl explain`: the decision record of one request, told as a story. */
import * as z from 'zod';
import type { PlatformApi } from '@bluebellhitch/objects';
import { adminAddresses, askAll } from '../adminPorts';
import { failureReport, printReport, type CtlIo, type Paint } from '../ctlIo';
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
  /** Knows the processes where none is named; its outage does not keep named ones from answering. */
  platform?: PlatformApi;
}

type Answer =
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
  const answers = await askAll(addresses, (address) => askRecord(io, address, requestId));
  const found = answers.flatMap((answer) => (answer.kind === 'found' ? [answer] : []));
  return found.length === 0
    ? printReport(io, notFoundReport(requestId, answers))
    : printReport(io, {
        exitCode: ctlExitCodes.ok,
        data: { records: found.map(({ address, record }) => ({ address, ...record })) },
        lines: found.flatMap(({ address, record }) => tellStory(io.paint, address, record)),
      });
}

async function askRecord(io: CtlIo, address: string, requestId: string): Promise<Answer> {
  const path = `/debug/decisions/${encodeURIComponent(requestId)}`;
  const answer = await io.readAdmin(address, path);
  if (answer.isErr()) {
    return answer.error.kind === 'not-found'
      ? { kind: 'absent', address }
      : { kind: 'silent', address, detail: answer.error.detail };
  }
  const record = decisionRecordSchema.safeParse(answer.value);
  return record.success
    ? { kind: 'found', address, record: record.data }
    : { kind: 'silent', address, detail: 'answers in an unknown form' };
}

function notFoundReport(requestId: string, answers: readonly Answer[]) {
  const silent = answers.flatMap((answer) =>
    answer.kind === 'silent' ? [`${answer.address}: ${answer.detail}`] : [],
  );
  const message = `${requestId}: no process that answered has a record of it; each keeps only its latest`;
  return {
    exitCode: ctlExitCodes.failure,
    data: { error: message, silent },
    lines: [message, ...silent],
  };
}

function tellStory(paint: Paint, address: string, record: DecisionRecord): string[] {
  const { requestId, service, institution, className, startedAt, fingerprint, outcome } = record;
  return [
    paint.strong(`${requestId}: ${outcome === '' ? 'still running' : outcome}`),
    ...indent([
      `asked of ${service} by ${institution}, class ${className}, at ${startedAt}`,
      `recorded by ${address}`,
      ...(fingerprint === undefined ? [] : [`fingerprint ${fingerprint}`]),
      ...record.steps.map((step) => tellStep(paint, step)),
    ]),
  ];
}

function tellStep(paint: Paint, { atMs, kind, detail }: DecisionRecord['steps'][number]): string {
  const time = `${atMs.toFixed(1).padStart(9)} ms`;
  const words = kind.replaceAll('-', ' ');
  const parts = Object.entries(detail).map(
    ([name, value]) => `${toWords(name)} ${tellValue(value)}`,
  );
  return `${paint.faint(time)}  ${words}${parts.length === 0 ? '' : `: ${parts.join(', ')}`}`;
}

/** `usableInMs` reads as `usable in ms`. */
function toWords(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
}

function tellValue(value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(tellValue).join('; ')}]`;
  }
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value)
      .map(([name, inner]) => `${toWords(name)} ${tellValue(inner)}`)
      .join(' ');
  }
  return typeof value === 'number' ? String(Math.round(value * 1000) / 1000) : String(value);
}
