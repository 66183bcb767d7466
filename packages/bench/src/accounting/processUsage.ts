/** Processor time and memory of a process, read from its metrics. */
import { readMetrics, sumSamples } from './metricsText';

export interface ProcessUsage {
  cpuSeconds: number;
  residentBytes: number;
}

export async function readUsage(adminAddress: string): Promise<ProcessUsage> {
  const samples = await readMetrics(adminAddress);
  return {
    cpuSeconds: sumSamples(samples, 'process_cpu_seconds_total'),
    residentBytes: sumSamples(samples, 'process_resident_memory_bytes'),
  };
}
