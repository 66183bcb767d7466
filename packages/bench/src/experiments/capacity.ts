/**
 * Slopes behind docs/CAPACITY.md, one small experiment each. Every experiment starts its own
 * processes and stand-ins, and measures at three sizes or more.
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

const parts: Record<string, (context: ExperimentContext) => Promise<ExperimentReport>> = {
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
  /** Names of the experiments to run, one after the other. */
  what: readonly string[];
}

export async function runCapacity(
  context: ExperimentContext,
  { what }: CapacityOptions,
): Promise<ExperimentReport> {
  const reports: [string, ExperimentReport][] = [];
  for (const name of what) {
    const run = parts[name];
    if (run === undefined) {
      throw new Error(`no capacity experiment ${name}; there are ${Object.keys(parts).join(', ')}`);
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
