/**
 * Invariants that must hold in every world under all faults. The checks read the engines' own statistics
 * rather than the system's view of them.
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
  /** Records the generation that a process has applied. */
  onGeneration(process: SimulatedProcess, service: string, generation: number): void;
  /** Returns the generation that the process applied last. */
  generationOf(process: SimulatedProcess, service: string): number;
  /** Returns the current violations. A violation that has occurred stays in the list. */
  violations(): string[];
  /** Returns the violations of what must also hold 2 s after all requests have ended. */
  idleViolations(): string[];
  /** Returns the attempt ids of the request whose decode an engine has started. */
  decodesOf(requestName: string): string[];
}

export function createInvariantChecks(options: InvariantChecksOptions): InvariantChecks {
  const { agents, requests, requestOf } = options;
  const generations = new Map<SimulatedProcess, Map<string, number>>();
  const generationRegressions: string[] = [];

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
      generationRegressions.push(
        `${process.id}: generation of ${service} ${before} -> ${generation}`,
      );
    }
    known.set(service, generation);
  }

  function responseViolations(sent: SentRequest): string[] {
    const { name, outcome, text, prompt, engineModel, outputTokens } = sent;
    if (engineModel === '') {
      return [];
    }
    const expected = expectedOutput(prompt, engineModel, outputTokens);
    if (outcome?.kind === 'whole' && text !== expected.text()) {
      return [
        `${name}: complete response of ${sent.tokenCount} tokens differs from the expected output`,
      ];
    }
    return text === expected.text(sent.tokenCount)
      ? []
      : [`${name}: received text is not a prefix of the expected output`];
  }

  function refusalViolations({ name, outcome }: SentRequest): string[] {
    const ran = outcome?.kind === 'refused' && outcome.notRun === true ? decodesOf(name) : [];
    return ran.map((attemptId) => `${name}: refused as not run, but ${attemptId} ran`);
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
      .map(
        ({ peakHeldKvBytes }) => `an engine held ${peakHeldKvBytes} bytes, more than its capacity`,
      );
  }

  return {
    onGeneration,
    generationOf: (process, service) => generations.get(process)?.get(service) ?? 0,
    decodesOf,
    violations: () => [
      ...[...requests.values()].flatMap((sent) => [
        ...responseViolations(sent),
        ...refusalViolations(sent),
      ]),
      ...repeatViolations(),
      ...memoryViolations(),
      ...generationRegressions,
    ],
    idleViolations: () => [
      ...[...requests.values()]
        .filter(({ outcome }) => outcome === undefined)
        .map(({ name }) => `${name}: no response`),
      ...agents
        .map((agent) => ({ id: agent.engineId, heldKvBytes: agent.engine().stats().heldKvBytes }))
        .filter(({ heldKvBytes }) => heldKvBytes > 0)
        .map(({ id, heldKvBytes }) => `${id}: still holds ${heldKvBytes} bytes`),
    ],
  };
}
