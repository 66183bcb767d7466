/** Replays load patterns over several seeds and reports outcomes for callers, optionally without some mechanisms. */
import { readFile } from 'node:fs/promises';
import {
  addFigures,
  parsePattern,
  runReplay,
  type Mechanism,
  type ReplayFigures,
  type ServedCount,
} from '@bluebellhitch/replay';
import { formatFindings } from '@bluebellhitch/shared';
import { renderTable } from '../report/table';
import type { ExperimentReport } from './context';

export interface ReplaysOptions {
  patterns: readonly string[];
  seeds: readonly number[];
  without: readonly Mechanism[];
}

const patternFolder = 'packages/replay/patterns';
const headers = [
  'pattern',
  'asked',
  'on time',
  'late',
  'refused',
  'failed',
  'left',
  'preempted',
  'read in vain',
  'held ms',
  'refused again',
  'turned away %',
  'largest tenth %',
  'next fifth %',
];

export async function runReplays(options: ReplaysOptions): Promise<ExperimentReport> {
  const rows = await options.patterns.reduce<Promise<[string, ReplayFigures][]>>(
    async (before, name) => [...(await before), [name, await replayPattern(name, options)]],
    Promise.resolve([]),
  );
  const text = renderTable(
    headers,
    rows.map(([name, figures]) => renderRow(name, figures)),
  );
  return { text, figures: { without: options.without, ...Object.fromEntries(rows) } };
}

/** Runs the seeds in sequence, because a replay takes over the clock of the process. */
async function replayPattern(
  name: string,
  { seeds, without }: ReplaysOptions,
): Promise<ReplayFigures> {
  const parsed = parsePattern(await readFile(`${patternFolder}/${name}.yaml`, 'utf8'));
  if (parsed.isErr()) {
    throw new Error(`pattern ${name}:\n${formatFindings(parsed.error)}`);
  }
  const figures = await seeds.reduce<Promise<ReplayFigures[]>>(
    async (before, seed) => [
      ...(await before),
      await runReplay({ pattern: parsed.value, seed, absent: without }),
    ],
    Promise.resolve([]),
  );
  return addFigures(figures);
}

function renderRow(name: string, figures: ReplayFigures): string[] {
  const { asked, outcomes, preempted, readInVainTokens, heldMs, refusedAgain } = figures;
  const { turnedAway, reservationsAsked, largestTenth, nextFifth } = figures;
  return [
    name,
    ...[asked, outcomes['on-time'], outcomes.late, outcomes.refused, outcomes.failed].map(String),
    ...[outcomes.left, preempted, readInVainTokens, Math.round(heldMs), refusedAgain].map(String),
    formatPercentage(turnedAway, reservationsAsked),
    formatServedPercent(largestTenth),
    formatServedPercent(nextFifth),
  ];
}

function formatServedPercent({ served, asked }: ServedCount): string {
  return formatPercentage(served, asked);
}

function formatPercentage(part: number, whole: number): string {
  return whole === 0 ? '-' : ((100 * part) / whole).toFixed(1);
}
