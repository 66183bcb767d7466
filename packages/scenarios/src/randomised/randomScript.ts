/**
 * Scripts of random operations. They refer to processes and requests by numbers that are taken modulo
 * their count, so that every shorter script is valid too and a failing script can be shrunk.
 */
import type { FrameFaultKind } from '../world/frameFaults';
import type { AgentCall } from '../world/network';
import { scenarioSchema, stepSchemas, type Scenario, type Step } from '../language/scenarioSchema';

export type RandomOperation =
  | {
      kind: 'send';
      entry: number;
      service: number;
      /** If absent, the request may be repeated. */
      key?: number;
      promptTokens: number;
      outputTokens: number;
    }
  | { kind: 'cancel'; request: number }
  | {
      kind: 'process';
      verb: 'crash' | 'pause' | 'resume' | 'restart' | 'vanish';
      /** Index into entries, agents and engines, in this order. */
      process: number;
    }
  | { kind: 'network'; verb: 'cut' | 'heal'; entry: number; agent: number }
  | { kind: 'lose-claim-answer'; verb: 'create' | 'get' | 'update' | 'remove'; effect: LostEffect }
  | { kind: 'lose-agent-answer'; agent: number; call: AgentCall }
  | { kind: 'repeat'; agent: number; call: AgentCall }
  | { kind: 'corrupt'; agent: number; frames: FrameFaultKind; after: number }
  | { kind: 'engine'; agent: number; fault: EngineFault }
  | { kind: 'platform'; state: 'down' | 'slow' | 'up' }
  | { kind: 'clear-faults' }
  | { kind: 'leave'; agent: number }
  | { kind: 'edit'; service: number }
  | { kind: 'advance'; durationMs: number };

export type LostEffect = 'applied' | 'dropped' | 'late';
export const engineFaults = [
  'stallTransfers',
  'failCancels',
  'loseCancelAnswers',
  'refuseWork',
  'paused',
  'truncateStreams',
] as const;
export type EngineFault = (typeof engineFaults)[number];

const services = {
  'draft-models': { workers: ['prefill', 'both', 'both'], slots: 4 },
  'tread-scribe': { workers: ['both', 'both'], slots: 3 },
} as const;
const serviceNames = Object.keys(services);
const entryCount = 2;
const agentCount = 5;
const lateMs = 700;
/** Maximum time from the end of all faults to the end of the last request. */
const settleWithinMs = 20_000;

/** State that the earlier operations of a script led to. */
interface Progress {
  names: string[];
  platformState: 'down' | 'slow' | 'up';
  generation: number;
}

/** Converts a script to a scenario: its steps, then recovery, then the end of every request. */
export function toScenario(operations: readonly RandomOperation[]): Scenario {
  const progress: Progress = { names: [], platformState: 'up', generation: 1 };
  const steps = operations.flatMap((operation) => toStep(operation, progress) ?? []);
  const ending = [step('recover', true), step('settle', { withinMs: settleWithinMs })];
  const scenario = scenarioSchema.parse({
    tells: 'A random script.',
    world: { entries: entryCount, services },
    steps: ['placeholder'],
  });
  return { ...scenario, steps: [...steps, ...ending] };
}

/** Returns the steps in the scenario language, to be saved as a scenario file. */
export function describeSteps({ steps }: Scenario): Record<string, unknown>[] {
  return steps.map(({ verb, input }) => ({ [verb]: input }));
}

function step(verb: keyof typeof stepSchemas, input: unknown): Step {
  return { verb, line: 0, input: stepSchemas[verb].parse(input) } as Step;
}

function nameOf(prefix: string, index: number, count: number): string {
  return `${prefix}-${(index % count) + 1}`;
}

const entryName = (index: number) => nameOf('entry', index, entryCount);
const agentName = (index: number) => nameOf('agent', index, agentCount);
const engineName = (index: number) => nameOf('engine', index, agentCount);

/** Engines cannot vanish: their agent, on the same machine, would notice. */
function processName({ verb, process }: Extract<RandomOperation, { kind: 'process' }>): string {
  const count = entryCount + (verb === 'vanish' ? agentCount : 2 * agentCount);
  const position = process % count;
  if (position < entryCount) {
    return entryName(position);
  }
  return position < entryCount + agentCount
    ? agentName(position - entryCount)
    : engineName(position - entryCount - agentCount);
}

/** Returns undefined if the operation has nothing to act on. */
function toStep(operation: RandomOperation, progress: Progress): Step | undefined {
  const { names } = progress;
  switch (operation.kind) {
    case 'send':
      return toSend(operation, names);
    case 'cancel':
      return names.length === 0
        ? undefined
        : step('cancel', names[operation.request % names.length]);
    case 'process':
      return step(operation.verb, processName(operation));
    case 'network':
      return step(operation.verb, [entryName(operation.entry), agentName(operation.agent)]);
    case 'engine':
      return step('engine', {
        name: engineName(operation.agent),
        set: { [operation.fault]: true },
      });
    case 'advance':
      return step('advance', operation.durationMs);
    case 'leave':
    case 'platform':
    case 'clear-faults':
    case 'edit':
      return toOperatorStep(operation, progress);
    default:
      return toNetworkFault(operation);
  }
}

function toOperatorStep(
  operation: Extract<RandomOperation, { kind: 'leave' | 'platform' | 'clear-faults' | 'edit' }>,
  progress: Progress,
): Step | undefined {
  switch (operation.kind) {
    case 'leave':
      return step('leave', agentName(operation.agent));
    case 'platform':
      progress.platformState = operation.state;
      return step('platform', operation.state);
    case 'clear-faults':
      progress.platformState = 'up';
      return step('clear-faults', true);
    default:
      return toEdit(operation.service, progress);
  }
}

function toNetworkFault(
  operation: Extract<
    RandomOperation,
    { kind: 'lose-claim-answer' | 'lose-agent-answer' | 'repeat' | 'corrupt' }
  >,
): Step {
  switch (operation.kind) {
    case 'lose-claim-answer': {
      const { verb, effect } = operation;
      return step('lose-answer', { of: 'platform', kind: 'claim', verb, effect, lateMs });
    }
    case 'lose-agent-answer':
      return step('lose-answer', { of: agentName(operation.agent), call: operation.call });
    case 'repeat':
      return step('repeat', { of: agentName(operation.agent), call: operation.call, copies: 2 });
    default: {
      const { agent, frames, after } = operation;
      return step('corrupt', { from: agentName(agent), frames, after });
    }
  }
}

function toEdit(service: number, progress: Progress): Step | undefined {
  if (progress.platformState === 'down') {
    return undefined;
  }
  progress.generation += 1;
  return step('edit', {
    service: serviceNames[service % serviceNames.length],
    generation: progress.generation,
  });
}

function toSend(operation: Extract<RandomOperation, { kind: 'send' }>, names: string[]): Step {
  const { entry, service, key, promptTokens, outputTokens } = operation;
  const name = `request-${names.length + 1}`;
  names.push(name);
  const marking =
    key === undefined ? {} : { key: `key-${key}`, marked: true, topic: `topic-${key}` };
  return step('send', {
    ...{ name, to: entryName(entry), service: serviceNames[service % serviceNames.length] },
    ...{ promptTokens, outputTokens, ...marking },
  });
}
