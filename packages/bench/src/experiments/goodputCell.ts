/** One cell of the goodput experiment: one trace against one policy at one load, with or without a fault. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { accountGoodput, type GoodputAccount } from '../accounting/goodput';
import {
  emptyPrefillAccount,
  readPrefillAccount,
  readWasteByCause,
  subtractPrefill,
  type PrefillAccount,
} from '../accounting/prefillAccount';
import { readJson, sendJson } from '../fleet/controlCalls';
import { engineModelOf, modelDocumentOf, type FleetDescription } from '../fleet/fleetDescription';
import type { Fleet } from '../fleet/startFleet';
import { runOpenLoop, type ToolHealth } from '../load/openLoop';
import { createTrace } from '../traffic/trace';
import { mixes } from '../traffic/mixes';
import { createFault, type Fault, type FaultKind } from './faults';

export interface CellOptions {
  fleet: Fleet;
  description: FleetDescription;
  /** Group of entries to send to. */
  policy: string;
  seed: number;
  ratePerSecond: number;
  /** Measured part; a warm-up comes before it. */
  seconds: number;
  fault?: FaultKind;
  /** Unique among the cells of a fleet. */
  cellName: string;
}

export interface CellResult {
  goodput: GoodputAccount;
  prefill: PrefillAccount;
  /** Wasted over computed prefill tokens, warm-up included. */
  wastedRatio: number;
  /** As the entries tell it. */
  wastedByCause: Record<string, number>;
  tool: ToolHealth;
}

export const warmUpMs = 3_000;
const longestAnswerMs = 30_000;
const drainBoundMs = 10_000;
const drainPollMs = 100;

export async function runCell(options: CellOptions): Promise<CellResult> {
  const { fleet, fault: faultKind } = options;
  const fault = faultKind === undefined ? undefined : createFault(faultKind, fleet);
  await clearCaches(fleet);
  const before = await readAccounts(options, undefined);
  const { answers, tool } = await sendTrace(options, fault);
  await untilDrained(fleet);
  const after = await readAccounts(options, fault);
  await fault?.mend();
  const prefill = subtractPrefill(after.prefill, before.prefill);
  return {
    goodput: accountGoodput(answers, {
      ...judgeOptions(options.description),
      fromMs: warmUpMs,
      toMs: warmUpMs + options.seconds * 1000,
    }),
    prefill,
    wastedRatio: prefill.wastedTokens / Math.max(1, prefill.prefillTokens),
    wastedByCause: subtractCounts(after.wastedByCause, before.wastedByCause),
    tool,
  };
}

function judgeOptions(description: FleetDescription) {
  const document = modelDocumentOf(description);
  return { targets: document.targets, engineModel: engineModelOf(document) };
}

async function sendTrace(options: CellOptions, fault: Fault | undefined) {
  const { description, fleet, policy, seed, ratePerSecond, seconds, cellName } = options;
  const document = modelDocumentOf(description);
  const trace = createTrace({
    seed,
    mix: mixes[description.institution],
    ratePerSecond,
    durationMs: warmUpMs + seconds * 1000,
  });
  const timers = fault === undefined ? [] : scheduleFault(fault, seconds);
  const result = await runOpenLoop({
    trace,
    callerAddresses: entriesOf(fleet, policy).map(({ callerAddress }) => callerAddress),
    model: document.service,
    institution: description.institution,
    keyPrefix: cellName,
    timeoutMs: Math.min(document.limits.requestTimeoutMs, longestAnswerMs),
  });
  timers.forEach((timer) => clearTimeout(timer));
  return result;
}

function entriesOf(fleet: Fleet, policy: string) {
  return fleet.entries.filter(({ group }) => group === policy);
}

function scheduleFault(fault: Fault, seconds: number): NodeJS.Timeout[] {
  const at = (share: number, action: () => Promise<void>) =>
    setTimeout(
      () => {
        void action();
      },
      warmUpMs + share * seconds * 1000,
    );
  const { beginsAt, endsAt } = fault;
  const begin = at(beginsAt, fault.begin);
  return endsAt === undefined ? [begin] : [begin, at(endsAt, fault.end)];
}

async function readAccounts({ fleet, policy }: CellOptions, fault: Fault | undefined) {
  const lost = fault?.lostAccount() ?? emptyPrefillAccount;
  // A worker that was killed no longer answers; what it had counted was read before.
  const readings = await Promise.all(
    engineAddresses(fleet).map((address) =>
      readPrefillAccount([address]).catch(() => emptyPrefillAccount),
    ),
  );
  const prefill = [...readings, lost].reduce((total, reading) => ({
    prefillTokens: total.prefillTokens + reading.prefillTokens,
    wastedTokens: total.wastedTokens + reading.wastedTokens,
    preemptions: total.preemptions + reading.preemptions,
  }));
  const admins = entriesOf(fleet, policy).map(({ adminAddress }) => adminAddress);
  return { prefill, wastedByCause: await readWasteByCause(admins) };
}

function engineAddresses(fleet: Fleet): string[] {
  return fleet
    .backends()
    .filter(({ description: { document } }) => document.kind === 'model')
    .map(({ address }) => address);
}

async function clearCaches(fleet: Fleet): Promise<void> {
  await Promise.all(
    engineAddresses(fleet).map((address) =>
      sendJson('POST', `${address}/control`, { clearCache: true }),
    ),
  );
}

/** Waits until no engine holds memory: what is left then was lost, and the next cell starts clean. */
async function untilDrained(fleet: Fleet): Promise<void> {
  const giveUpAtMs = monotonicNowMs() + drainBoundMs;
  while ((await countHoldings(fleet)) > 0 && monotonicNowMs() < giveUpAtMs) {
    await delay(drainPollMs);
  }
}

async function countHoldings(fleet: Fleet): Promise<number> {
  const replies = await Promise.all(
    engineAddresses(fleet).map((address) =>
      readJson(`${address}/holdings`).catch(() => ({ holdings: [] })),
    ),
  );
  return (replies as { holdings: unknown[] }[]).reduce(
    (total, { holdings }) => total + holdings.length,
    0,
  );
}

function subtractCounts(
  after: Record<string, number>,
  before: Record<string, number>,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(after)
      .map(([name, value]) => [name, value - (before[name] ?? 0)] as const)
      .filter(([, value]) => value > 0),
  );
}
