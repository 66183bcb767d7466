/** Parses the Prometheus text format that entries and agents serve at `/metrics`. */
import { readText } from '../fleet/controlCalls';

export interface MetricSample {
  name: string;
  labels: Record<string, string>;
  value: number;
}

const samplePattern = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)$/;
const labelPattern = /(\w+)="((?:[^"\\]|\\.)*)"/g;

export function parseMetrics(text: string): MetricSample[] {
  return text.split('\n').flatMap((line) => {
    const match = line.startsWith('#') ? null : samplePattern.exec(line);
    if (match === null) {
      return [];
    }
    const [, name = '', labelText = '', value = ''] = match;
    const labels = [...labelText.matchAll(labelPattern)].map(([, key = '', labelValue = '']) => [
      key,
      labelValue,
    ]);
    return [
      { name, labels: Object.fromEntries(labels) as Record<string, string>, value: Number(value) },
    ];
  });
}

/** Sums a metric over all its label sets; 0 if it is absent. */
export function sumSamples(samples: readonly MetricSample[], name: string): number {
  return samples
    .filter((sample) => sample.name === name)
    .reduce((total, { value }) => total + value, 0);
}

export async function readMetrics(adminAddress: string): Promise<MetricSample[]> {
  return parseMetrics(await readText(`${adminAddress}/metrics`));
}
