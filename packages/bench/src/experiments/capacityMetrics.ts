/** Series and rendering time of an entry's metrics by services and classes; workspaces are not a label. */
import { createEntryMetrics, requestPhases, type EntryMetrics } from '@bluebellhitch/telemetry';
import { monotonicNowMs } from '@bluebellhitch/shared';
import { renderTable } from '../report/table';
import type { ExperimentContext, ExperimentReport } from './context';

interface MetricsResult {
  services: number;
  classes: number;
  /** Class names sent by callers that no document defines, one per workspace. */
  unknownClasses: number;
  series: number;
  renderedBytes: number;
  renderMs: number;
}

const sizes = [
  { services: 9, classes: 3, unknownClasses: 0 },
  { services: 27, classes: 3, unknownClasses: 0 },
  { services: 81, classes: 3, unknownClasses: 0 },
  { services: 270, classes: 3, unknownClasses: 0 },
  { services: 27, classes: 3, unknownClasses: 6_300 },
];

export async function runMetrics(_context: ExperimentContext): Promise<ExperimentReport> {
  const results: MetricsResult[] = [];
  for (const size of sizes) {
    results.push({ ...size, ...(await measureMetrics(size)) });
  }
  const headers = [
    'services',
    'classes',
    'unknown classes',
    'series',
    'bytes a scrape',
    'ms a scrape',
  ];
  const rows = results.map((result) => [
    String(result.services),
    String(result.classes),
    String(result.unknownClasses),
    String(result.series),
    String(result.renderedBytes),
    result.renderMs.toFixed(1),
  ]);
  return { text: renderTable(headers, rows), figures: { results } };
}

type Size = (typeof sizes)[number];

async function measureMetrics(size: Size) {
  const metrics = createEntryMetrics();
  const classNames = Array.from({ length: size.classes }, (_, index) => `class-${index}`);
  const unknown = Array.from({ length: size.unknownClasses }, (_, index) => `workspace-${index}`);
  Array.from({ length: size.services }, (_, index) => index).forEach((index) => {
    const service = `service-${index}`;
    const institution = `institution-${index % 2}`;
    metrics.addServiceLabels({ service, institution, classNames });
    classNames.forEach((className) => recordSamples(metrics, { service, institution, className }));
  });
  unknown.forEach((className) =>
    recordSamples(metrics, { service: 'service-0', institution: 'institution-0', className }),
  );
  await metrics.render();
  const startedAtMs = monotonicNowMs();
  const text = await metrics.render();
  const renderMs = monotonicNowMs() - startedAtMs;
  const lines = text.split('\n').filter((line) => line !== '' && !line.startsWith('#'));
  return { series: lines.length, renderedBytes: text.length, renderMs };
}

function recordSamples(
  metrics: EntryMetrics,
  labels: Parameters<EntryMetrics['countGoodput']>[0],
): void {
  Object.values(requestPhases).forEach((phase) => metrics.observePhase(phase, labels, 100));
  metrics.countRequest(labels, 'completed');
  metrics.countGoodput(labels);
}
