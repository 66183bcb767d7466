/** Tables of the goodput experiment: medians over the seeds, with minimum and maximum. */
import { computeMedian } from '../accounting/quantiles';
import {
  formatScenario,
  listScenarios,
  type GoodputCell,
  type GoodputFigures,
  type PolicyName,
  type Scenario,
} from '../experiments/goodputTypes';
import { describeMachine } from '../experiments/machine';
import type { InstitutionName } from '../fleet/fleetDescription';
import { formatCounts, formatMs, formatPercent, renderTable } from './table';

const headers = [
  'load',
  'policy',
  'goodput',
  'by mean gap',
  'wasted prefill',
  'first token p50 / p95 (ms)',
  'between tokens p95 (ms)',
  'plain complete',
  'wrong',
  'refused or broken, a cell',
];

/** If the event loop of the generator is later than this, generator and fleet lack processor time. */
const maxLoopDelayMs = 10;

export function renderGoodput(figures: GoodputFigures): string {
  const { options, machine } = figures;
  return [
    describeMachine(machine.before, machine.after),
    `All times and targets scaled by ${options.timeScale}; ${options.seconds} s per cell after a warm-up, seeds ${options.seeds.join(', ')}, ${options.entryCount} entries per policy. Median (minimum to maximum) over the seeds.`,
    ...options.institutions.flatMap((institution) => renderInstitution(figures, institution)),
    '',
    renderGeneratorHealth(figures.cells),
  ].join('\n');
}

function renderInstitution(figures: GoodputFigures, institution: InstitutionName): string[] {
  const rows = listScenarios(figures.options).flatMap((scenario) =>
    figures.options.policies.map((policy) =>
      renderRow(scenario, policy, selectCells(figures, institution, scenario, policy)),
    ),
  );
  return [
    '',
    `### ${institution}`,
    '',
    renderCapacity(figures, institution),
    '',
    renderTable(headers, rows),
  ];
}

function selectCells(
  { cells }: GoodputFigures,
  institution: InstitutionName,
  scenario: Scenario,
  policy: PolicyName,
): GoodputCell[] {
  return cells.filter(
    (cell) =>
      cell.institution === institution &&
      cell.policy === policy &&
      cell.loadPercent === scenario.loadPercent &&
      cell.fault === scenario.fault,
  );
}

function renderCapacity({ capacities }: GoodputFigures, institution: InstitutionName): string {
  const capacity = capacities[institution];
  if (capacity === undefined) {
    return 'capacity unknown';
  }
  const rate = (value: number) => value.toFixed(1);
  return [
    `Capacity ${rate(capacity.requestsPerSecond)} requests/s, the minimum of decode slots ${rate(capacity.decodeSlotsPerSecond)},`,
    `decode memory ${rate(capacity.decodeMemoryPerSecond)} and prefill ${rate(capacity.prefillPerSecond)}`,
    `(${formatPercent(capacity.reusableRatio)} of prompt tokens reusable); mean prompt ${capacity.meanPromptTokens.toFixed(0)}`,
    `and output ${capacity.meanOutputTokens.toFixed(0)} tokens.`,
  ].join(' ');
}

function renderRow(scenario: Scenario, policy: PolicyName, cells: GoodputCell[]): string[] {
  const results = cells.map(({ result }) => result);
  const summaries = results.map(({ goodput }) => goodput);
  const median = (values: number[]) => formatMs(computeMedian(values));
  const firstTokens = [
    median(summaries.map(({ firstTokenMs }) => firstTokenMs.p50)),
    median(summaries.map(({ firstTokenMs }) => firstTokenMs.p95)),
  ];
  return [
    formatScenario(scenario),
    policy,
    formatSpread(summaries.map(({ goodput }) => goodput)),
    formatSpread(summaries.map(({ goodputByMeanGap }) => goodputByMeanGap)),
    formatSpread(results.map(({ wastedRatio }) => wastedRatio)),
    firstTokens.join(' / '),
    median(summaries.map(({ betweenTokensMs }) => betweenTokensMs.p95)),
    formatPercent(
      computeMedian(summaries.map(({ plain }) => plain.complete / Math.max(1, plain.offered))),
    ),
    String(
      summaries.reduce((sum, { verdicts, plain }) => sum + (verdicts.wrong ?? 0) + plain.wrong, 0),
    ),
    formatCounts(meanCounts(summaries.map(({ refusals }) => refusals))),
  ];
}

function formatSpread(shares: number[]): string {
  const range = `${formatPercent(Math.min(...shares))} to ${formatPercent(Math.max(...shares))}`;
  return shares.length === 0 ? '-' : `${formatPercent(computeMedian(shares))} (${range})`;
}

function meanCounts(all: readonly Record<string, number>[]): Record<string, number> {
  const names = [...new Set(all.flatMap((counts) => Object.keys(counts)))].sort();
  return Object.fromEntries(
    names.map((name) => {
      const total = all.reduce((sum, counts) => sum + (counts[name] ?? 0), 0);
      return [name, Math.round(total / all.length)];
    }),
  );
}

function renderGeneratorHealth(cells: readonly GoodputCell[]): string {
  const worst = (valueOf: (cell: GoodputCell) => number) => Math.max(0, ...cells.map(valueOf));
  const loopMs = worst(({ result }) => result.tool.eventLoopDelayP99Ms);
  const lagMs = worst(({ result }) => result.tool.maxSendLagMs);
  const machineLimited = cells.filter(
    ({ result }) => result.tool.eventLoopDelayP99Ms > maxLoopDelayMs,
  );
  const verdict = `${machineLimited.length} of ${cells.length} cells are limited by the machine (above ${maxLoopDelayMs} ms): their figures do not allow conclusions about policies.`;
  return `Load generator in its worst cell: event loop p99 ${formatMs(loopMs)} ms late, a request sent up to ${formatMs(lagMs)} ms late. ${verdict}`;
}
