/**
 * What must hold in every world, whatever fails. Each check reads the engines' own accounts rather than
 * what the system believes of them.
 */
import { expectedOutput, type StandinEngine } from '@bluebellhitch/standins';
import type { SentRequest } from './callers';
import type { SimulatedProcess } from './simulatedProcess';
import type { WorldAgent } from './worldAgent';

export interface InvariantChecksOptions {
  agents: readonly WorldAgent[];
  requests: ReadonlyMap<string, SentRequest>;
  requestOf: (attemptId: string) => string | undefined;
}

export interface InvariantChecks {
  /** Notes a generation that a process has in force. */
  onGeneration(process: SimulatedProcess, service: string, generation: number): void;
  /** Highest generation that the process has had in force. */
  generationOf(process: SimulatedProcess, service: string): number;
  /** What is broken now; a violation once seen stays. */
  violations(): string[];
  /** What must hold besides once all requests have ended and 2 s have passed. */
  quietViolations(): string[];
  /** Attempts of a request that an engine began to decode. */
  decodesOf(requestName: string): string[];
}

export function createInvariantChecks(options: InvariantChecksOptions): InvariantChecks {
  const { agents, requests, requestOf } = options;
  const generations = new Map<SimulatedProcess, Map<string, number>>();
  const loweredGenerations: string[] = [];

  const engines = (): StandinEngine[] => agents.flatMap((agent) => [...agent.engines()]);

  function decodes(): { attemptId: string; request: string | undefined }[] {
    return engines()
      .flatMap((engine) => Object.keys(engine.stats().startedDecodes))
      .map((attemptId) => ({ attemptId, request: requestOf(attemptId) }));
  }

  function decodesOf(requestName: string): string[] {
    return decodes()
      .filter(({ request }) => request === requestName)
      .map(({ attemptId }) => attemptId);
  }

  function onGeneration(process: SimulatedProcess, service: string, generation: number): void {
    const known = generations.get(process) ?? new Map<string, number>();
    generations.set(process, known);
    const before = known.get(service) ?? 0;
    if (generation < before) {
      loweredGenerations.push(`${process.id}: generation of ${service} ${before} -> ${generation}`);
    }
    known.set(service, generation);
  }

  function answerViolations(sent: SentRequest): string[] {
    const { name, answer, text, prompt, engineModel, outputTokens } = sent;
    if (engineModel === '') {
      return [];
    }
    const expected = expectedOutput(prompt, engineModel, outputTokens);
    if (answer?.kind === 'whole' && text !== expected.text()) {
      return [`${name}: a whole answer of ${sent.tokenCount} tokens is not its own`];
    }
    return text === expected.text(sent.tokenCount)
      ? []
      : [`${name}: received tokens that are not its own, or twice`];
  }

  function refusalViolations({ name, answer }: SentRequest): string[] {
    const ran = answer?.kind === 'refused' && answer.notRun === true ? decodesOf(name) : [];
    return ran.map((attemptId) => `${name}: refused as not run, yet ${attemptId} ran`);
  }

  function repeatViolations(): string[] {
    const marked = [...requests.values()].filter((sent) => sent.marked === true);
    const keys = new Set(marked.map(({ service, key }) => `${service}/${key}`));
    return [...keys].flatMap((key) => {
      const attempts = marked
        .filter((sent) => `${sent.service}/${sent.key}` === key)
        .flatMap(({ name }) => decodesOf(name));
      return attempts.length > 1 ? [`key ${key} ran ${attempts.length} times`] : [];
    });
  }

  function memoryViolations(): string[] {
    return engines()
      .map((engine) => engine.stats())
      .filter(({ peakHeldKvBytes, capacityKvBytes }) => peakHeldKvBytes > capacityKvBytes)
      .map(({ peakHeldKvBytes }) => `an engine held ${peakHeldKvBytes} bytes`);
  }

  return {
    onGeneration,
    generationOf: (process, service) => generations.get(process)?.get(service) ?? 0,
    decodesOf,
    violations: () => [
      ...[...requests.values()].flatMap((sent) => [
        ...answerViolations(sent),
        ...refusalViolations(sent),
      ]),
      ...repeatViolations(),
      ...memoryViolations(),
      ...loweredGenerations,
    ],
    quietViolations: () => [
      ...[...requests.values()]
        .filter(({ answer }) => answer === undefined)
        .map(({ name }) => `${name}: no answer`),
      ...agents
        .map((agent) => ({ id: agent.engineId, heldKvBytes: agent.engine().stats().heldKvBytes }))
        .filter(({ heldKvBytes }) => heldKvBytes > 0)
        .map(({ id, heldKvBytes }) => `${id}: holds ${heldKvBytes} bytes for nobody`),
    ],
  };
}
