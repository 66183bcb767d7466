/** Processor time and memory of a process, by its own metrics. */
import { readMetrics, sumOf } from './metricsText';

export interface ProcessUsage {
  cpuSeconds: number;
  residentBytes: number;
}

export async function readUsage(adminAddress: string): Promise<ProcessUsage> {
  const samples = await readMetrics(adminAddress);
  return {
    cpuSeconds: sumOf(samples, 'process_cpu_seconds_total'),
    residentBytes: sumOf(samples, 'process_resident_memory_bytes'),
  };
}
