/** One cell of the goodput experiment: one trace, policy and load, with or without a fault. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { summarizeGoodput, type GoodputSummary } from '../accounting/goodput';
import {
  emptyPrefillTotals,
  readPrefillTotals,
  readWastedPrefillByCause,
  subtractPrefillTotals,
  type PrefillTotals,
} from '../accounting/prefillTotals';
import { readJson, sendJson } from '../fleet/controlCalls';
import { engineModelOf, modelDocumentOf, type FleetDescription } from '../fleet/fleetDescription';
import type { Fleet } from '../fleet/startFleet';
import { runOpenLoop, type GeneratorHealth } from '../load/openLoop';
import { createTrace } from '../traffic/trace';
import { mixes } from '../traffic/mixes';
import { createFault, type Fault, type FaultKind } from './faults';

export interface CellOptions {
  fleet: Fleet;
  description: FleetDescription;
  /** Entry group that receives the requests. */
  policy: string;
  seed: number;
  ratePerSecond: number;
  /** Length of the measured window, which follows the warm-up. */
  seconds: number;
  fault?: FaultKind;
  /** Unique among the cells of a fleet. */
  cellName: string;
}

export interface CellResult {
  goodput: GoodputSummary;
  prefill: PrefillTotals;
  /** Wasted divided by computed prefill tokens, warm-up included. */
  wastedRatio: number;
  /** Wasted prefill tokens by cause, from the metrics of the entries. */
  wastedByCause: Record<string, number>;
  tool: GeneratorHealth;
}

export const warmUpMs = 3_000;
const maxResponseMs = 30_000;
const drainTimeoutMs = 10_000;
const drainPollIntervalMs = 100;

export async function runCell(options: CellOptions): Promise<CellResult> {
  const { fleet, fault: faultKind } = options;
  const fault = faultKind === undefined ? undefined : createFault(faultKind, fleet);
  await clearCaches(fleet);
  const before = await readTotals(options, undefined);
  const { responses, tool } = await sendTrace(options, fault);
  await waitUntilDrained(fleet);
  const after = await readTotals(options, fault);
  await fault?.repair();
  const prefill = subtractPrefillTotals(after.prefill, before.prefill);
  return {
    goodput: summarizeGoodput(responses, {
      ...createEvaluateOptions(options.description),
      fromMs: warmUpMs,
      toMs: warmUpMs + options.seconds * 1000,
    }),
    prefill,
    wastedRatio: prefill.wastedTokens / Math.max(1, prefill.prefillTokens),
    wastedByCause: subtractCounts(after.wastedByCause, before.wastedByCause),
    tool,
  };
}

function createEvaluateOptions(description: FleetDescription) {
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
    callerAddresses: selectEntries(fleet, policy).map(({ callerAddress }) => callerAddress),
    model: document.service,
    institution: description.institution,
    keyPrefix: cellName,
    timeoutMs: Math.min(document.limits.requestTimeoutMs, maxResponseMs),
  });
  timers.forEach((timer) => clearTimeout(timer));
  return result;
}

function selectEntries(fleet: Fleet, policy: string) {
  return fleet.entries.filter(({ group }) => group === policy);
}

function scheduleFault(fault: Fault, seconds: number): NodeJS.Timeout[] {
  const scheduleAt = (fraction: number, action: () => Promise<void>) =>
    setTimeout(
      () => {
        void action();
      },
      warmUpMs + fraction * seconds * 1000,
    );
  const { startFraction, endFraction } = fault;
  const begin = scheduleAt(startFraction, fault.begin);
  return endFraction === undefined ? [begin] : [begin, scheduleAt(endFraction, fault.end)];
}

async function readTotals({ fleet, policy }: CellOptions, fault: Fault | undefined) {
  const lostTotals = fault?.lostTotals() ?? emptyPrefillTotals;
  // A killed worker does not respond; its counters were read before the kill.
  const readings = await Promise.all(
    engineAddresses(fleet).map((address) =>
      readPrefillTotals([address]).catch(() => emptyPrefillTotals),
    ),
  );
  const prefill = [...readings, lostTotals].reduce((total, reading) => ({
    prefillTokens: total.prefillTokens + reading.prefillTokens,
    wastedTokens: total.wastedTokens + reading.wastedTokens,
    preemptions: total.preemptions + reading.preemptions,
  }));
  const admins = selectEntries(fleet, policy).map(({ adminAddress }) => adminAddress);
  return { prefill, wastedByCause: await readWastedPrefillByCause(admins) };
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

/** Waits until no engine holds memory, up to 10 s, so that the next cell starts with empty engines. */
async function waitUntilDrained(fleet: Fleet): Promise<void> {
  const deadlineMs = monotonicNowMs() + drainTimeoutMs;
  while ((await countHoldings(fleet)) > 0 && monotonicNowMs() < deadlineMs) {
    await delay(drainPollIntervalMs);
  }
}

async function countHoldings(fleet: Fleet): Promise<number> {
  const responses = await Promise.all(
    engineAddresses(fleet).map((address) =>
      readJson(`${address}/holdings`).catch(() => ({ holdings: [] })),
    ),
  );
  return (responses as { holdings: unknown[] }[]).reduce(
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
