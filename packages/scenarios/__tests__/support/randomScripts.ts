/** fast-check arbitraries of random scripts, and the property that every script must have. */
import fc from 'fast-check';
import { stringify } from 'yaml';
import { runScenario } from '../../src';
import { agentCalls } from '../../src/world/network';
import { frameFaultKinds } from '../../src/world/frameFaults';
import {
  describeSteps,
  engineFaults,
  toScenario,
  type RandomOperation,
} from '../../src/randomised/randomScript';
import { installPausedClock } from './pausedClock';

const index = fc.nat({ max: 59 });

/** A lost response to a queued reservation looks like a long wait (see docs/FAILURES.md), so it is left out. */
const losableCalls = agentCalls.filter((call) => call !== 'reserve');

const send = fc.record({
  kind: fc.constant('send' as const),
  entry: index,
  service: index,
  key: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
  promptTokens: fc.constantFrom(20, 60, 400, 1500),
  outputTokens: fc.integer({ min: 1, max: 120 }),
});
const advance = fc.record({
  kind: fc.constant('advance' as const),
  durationMs: fc.oneof(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 30, max: 1_500 })),
});

const operation: fc.Arbitrary<RandomOperation> = fc.oneof(
  { weight: 8, arbitrary: send },
  { weight: 8, arbitrary: advance },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cancel' as const), request: index }) },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('process' as const),
      verb: fc.constantFrom('crash' as const, 'pause', 'resume', 'restart', 'vanish'),
      process: index,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('network' as const),
      verb: fc.constantFrom('cut' as const, 'heal'),
      ...{ entry: index, agent: index },
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('lose-claim-answer' as const),
      verb: fc.constantFrom('create' as const, 'get', 'update', 'remove'),
      effect: fc.constantFrom('applied' as const, 'dropped', 'late'),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('lose-agent-answer' as const, 'repeat'),
      agent: index,
      call: fc.constantFrom(...losableCalls),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('corrupt' as const),
      agent: index,
      frames: fc.constantFrom(...frameFaultKinds),
      after: fc.nat({ max: 20 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('engine' as const),
      agent: index,
      fault: fc.constantFrom(...engineFaults),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('platform' as const),
      state: fc.constantFrom('down' as const, 'slow', 'up', 'up'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), agent: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('edit' as const), service: index }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'clear-faults' as const }) },
);

export const randomScripts = fc.array(operation, { minLength: 4, maxLength: 40 });

/** Returns what a script violated: unhandled errors of the processes, and failures of the world's checks. */
export async function findViolations(script: readonly RandomOperation[]): Promise<string[]> {
  const thrown: unknown[] = [];
  const onUnhandledRejection = (error: unknown) => thrown.push(error);
  process.on('unhandledRejection', onUnhandledRejection);
  try {
    const failures = await runScenario({
      scenario: toScenario(script),
      clock: installPausedClock(),
    });
    return [
      ...failures.map(({ message }) => message),
      ...thrown.map((error) =>
        error instanceof Error ? (error.stack ?? error.message) : String(error),
      ),
    ];
  } catch (error) {
    return [String(error)];
  } finally {
    process.off('unhandledRejection', onUnhandledRejection);
  }
}

export interface RandomRunsOptions {
  seed: number;
  runCount: number;
  onRun?: (script: readonly RandomOperation[]) => void;
}

/** Runs scripts until one fails; resolves with a report of the shrunk script, or undefined if none fails. */
export async function findFailure(options: RandomRunsOptions): Promise<string | undefined> {
  const { seed, runCount, onRun } = options;
  const property = fc.asyncProperty(randomScripts, async (script) => {
    onRun?.(script);
    return (await findViolations(script)).length === 0;
  });
  const details = await fc.check(property, { seed, numRuns: runCount });
  if (!details.failed) {
    return undefined;
  }
  const [script] = details.counterexample ?? [[]];
  const violations = await findViolations(script);
  return [
    `seed ${seed}, path ${details.counterexamplePath}, after ${details.numRuns} runs:`,
    ...violations,
    'the shrunk script:',
    stringify(describeSteps(toScenario(script))),
  ].join('\n');
}
