/**
 * Runs the capacity experiments, which measure how costs grow with size; docs/CAPACITY.md uses the slopes. Each
 * experiment measures one kind of cost at several sizes, most of them on processes and stand-ins of their own.
 */
import { runDependencies } from './capacityDependencies';
import { runFeed } from './capacityFeed';
import { runIdle } from './capacityIdle';
import { runMessages } from './capacityMessages';
import { runMetrics } from './capacityMetrics';
import { runSpread } from './capacitySpread';
import { runStarts } from './capacityStarts';
import { runStreams } from './capacityStreams';
import type { ExperimentContext, ExperimentReport } from './context';
import { describeMachine, readMachine } from './machine';

const experiments: Record<string, (context: ExperimentContext) => Promise<ExperimentReport>> = {
  dependencies: runDependencies,
  feed: runFeed,
  idle: runIdle,
  messages: runMessages,
  metrics: runMetrics,
  spread: runSpread,
  starts: runStarts,
  streams: runStreams,
};

export interface CapacityOptions {
  /** Names of the experiments to run, in this order. */
  what: readonly string[];
}

export async function runCapacity(
  context: ExperimentContext,
  { what }: CapacityOptions,
): Promise<ExperimentReport> {
  const reports: [string, ExperimentReport][] = [];
  for (const name of what) {
    const run = experiments[name];
    if (run === undefined) {
      throw new Error(
        `unknown capacity experiment ${name}; must be one of ${Object.keys(experiments).join(', ')}`,
      );
    }
    const before = readMachine();
    const { text, figures } = await run(context);
    const machine = describeMachine(before, readMachine());
    reports.push([
      name,
      { text: `${name}: ${machine}\n\n${text}\n`, figures: { machine, ...figures } },
    ]);
  }
  return {
    text: reports.map(([, { text }]) => text).join('\n'),
    figures: Object.fromEntries(reports.map(([name, { figures }]) => [name, figures])),
  };
}
