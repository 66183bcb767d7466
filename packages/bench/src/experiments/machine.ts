/** Machine and load averages, reported with the figures because other load on the machine affects them. */
import { availableParallelism, cpus, loadavg, totalmem } from 'node:os';

export interface MachineState {
  cores: number;
  processor: string;
  memoryBytes: number;
  node: string;
  /** Load averages over one and five minutes. */
  loadAverages: [oneMinute: number, fiveMinutes: number];
}

export function readMachine(): MachineState {
  const [oneMinute = 0, fiveMinutes = 0] = loadavg();
  return {
    cores: availableParallelism(),
    processor: cpus()[0]?.model ?? 'unknown',
    memoryBytes: totalmem(),
    node: process.version,
    loadAverages: [oneMinute, fiveMinutes],
  };
}

export function describeMachine(before: MachineState, after: MachineState): string {
  const loads = [before, after].map(({ loadAverages: [oneMinute] }) => oneMinute.toFixed(1));
  return [
    `Node.js ${before.node}, ${before.cores} cores (${before.processor});`,
    `load average ${loads.join(' before and ')} after the run, this run included.`,
  ].join(' ');
}
