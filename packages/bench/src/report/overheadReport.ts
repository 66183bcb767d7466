/** Tables of the overhead experiment. */
import type { OverheadFigures, OverheadLevel, PathTimes } from '../experiments/overheadFigures';
import { describeMachine } from '../experiments/machine';
import { formatMs, renderTable } from './table';

const bytesPerMegabyte = 1_000_000;

export function renderOverhead(figures: OverheadFigures): string {
  const { options, longTokens, machine, levels } = figures;
  return [
    describeMachine(machine.before, machine.after),
    `Prompts of ${options.promptTokens} tokens, responses of ${longTokens} tokens, ${options.repeats} batches of each kind, alternating.`,
    '',
    renderLatencyTable(levels),
    '',
    renderProcessorTable(figures),
    '',
    renderMemoryTable(figures),
    ...renderFailures(levels),
  ].join('\n');
}

function renderLatencyTable(levels: readonly OverheadLevel[]): string {
  const headers = ['streams', 'path', 'answers', 'failed', 'first token p50 / p95 / p99 (ms)'];
  const rows = levels.flatMap((level) => {
    const { direct, entry } = level;
    return [
      renderLatencyRow(String(level.streams), 'engine directly', direct),
      renderLatencyRow('', 'entry and agent', entry),
      renderAddedRow(direct, entry),
    ];
  });
  return renderTable([...headers, 'between tokens p50 / p95 / p99 (ms)', 'answer p50 (ms)'], rows);
}

function renderLatencyRow(streams: string, path: string, times: PathTimes): string[] {
  const { firstTokenMs, betweenTokensMs, answerMs, failed } = times;
  const formatThree = ({ p50, p95, p99 }: typeof firstTokenMs) =>
    [p50, p95, p99].map(formatMs).join(' / ');
  return [
    streams,
    path,
    String(firstTokenMs.count),
    String(failed),
    formatThree(firstTokenMs),
    formatThree(betweenTokensMs),
    formatMs(answerMs.p50),
  ];
}

function renderAddedRow(direct: PathTimes, entry: PathTimes): string[] {
  const added = (
    left: PathTimes['firstTokenMs'],
    right: PathTimes['firstTokenMs'],
    keys: readonly ('p50' | 'p95' | 'p99')[],
  ) => keys.map((key) => formatSigned(right[key] - left[key])).join(' / ');
  const all = ['p50', 'p95', 'p99'] as const;
  return [
    '',
    'added',
    '',
    '',
    added(direct.firstTokenMs, entry.firstTokenMs, all),
    added(direct.betweenTokensMs, entry.betweenTokensMs, all),
    added(direct.answerMs, entry.answerMs, ['p50']),
  ];
}

function formatSigned(valueMs: number): string {
  return `${valueMs < 0 ? '-' : '+'}${Math.abs(valueMs).toFixed(2)}`;
}

function renderProcessorTable({ levels, idle }: OverheadFigures): string {
  // Differences of noisy measurements; values of 0 or less carry no information.
  const us = (value: number) => (value > 0 ? value.toFixed(0) : 'not resolved');
  const rows = levels.map(({ streams, entryCost, agentCost }) => [
    String(streams),
    us(entryCost.perRequestUs),
    us(entryCost.perTokenUs),
    us(agentCost.perRequestUs),
    us(agentCost.perTokenUs),
  ]);
  const headers = ['streams', 'entry, us a request', 'entry, us a token'];
  const table = renderTable([...headers, 'agent, us a request', 'agent, us a token'], rows);
  const share = (rate: number) => `${(rate * 100).toFixed(2)}%`;
  const idleLine = `Idle: entry ${share(idle.entry.cpuSeconds)} of a core, all agents together ${share(idle.agent.cpuSeconds)}; subtracted from the figures above.`;
  return `${table}\n\n${idleLine}`;
}

function renderMemoryTable({ levels, idle }: OverheadFigures): string {
  const megabytes = (bytes: number) => (bytes / bytesPerMegabyte).toFixed(0);
  const rows = [
    ['idle', megabytes(idle.entry.residentBytes), megabytes(idle.agent.residentBytes)],
    ...levels.map(({ streams, peakEntryBytes, peakAgentBytes }) => [
      `${streams} streams`,
      megabytes(peakEntryBytes),
      megabytes(peakAgentBytes),
    ]),
  ];
  return renderTable(['resident memory', 'entry (MB)', 'largest agent (MB)'], rows);
}

function renderFailures(levels: readonly OverheadLevel[]): string[] {
  return levels
    .filter(({ failures }) => failures.length > 0)
    .map(({ streams, failures }) => `Failures at ${streams} streams: ${failures.join('; ')}`);
}
