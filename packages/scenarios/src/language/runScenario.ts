/** Runs a scenario: its steps in order, the invariants after each step, and the idle checks at the end. */
import type { ServiceDocument } from '@bluebellhitch/document';
import { objectKinds } from '@bluebellhitch/objects';
import { invariant } from '@bluebellhitch/shared';
import { exampleDocument, resolveServices } from './exampleServices';
import { checkExpectation } from './expectations';
import { find } from './lookups';
import { isAtStage } from './requestStage';
import type { Scenario, Step, StepInput, StepName } from './scenarioSchema';
import type { Safeguard } from '../world/safeguards';
import type { SimulatedProcess } from '../world/simulatedProcess';
import { createWorld, type World } from '../world/world';
import type { PausedClock } from '../world/worldTime';

export interface RunScenarioOptions {
  scenario: Scenario;
  clock: PausedClock;
  disabledSafeguards?: readonly Safeguard[];
  /** Called before the world is closed. */
  onEnd?: (world: World, failures: readonly ScenarioFailure[]) => void;
}

/** A failed check, with the line of its step. */
export interface ScenarioFailure {
  line: number;
  message: string;
}

/** State of a running scenario. */
interface ScenarioRun {
  world: World;
  scenario: Scenario;
  documents: Map<string, ServiceDocument>;
  orders: Map<string, string>;
}

type StepRunners = {
  [Name in Exclude<StepName, 'expect'>]: (stage: ScenarioRun, input: StepInput<Name>) => unknown;
};

const slowPlatformMs = 800;
const healthyEngine = {
  ...{ stallTransfers: false, failCancels: false, loseCancelAnswers: false },
  ...{ slowFactor: 1, paused: false, refuseWork: false },
};
/** All engine memory must be free within this time after the last step. */
const idleWithinMs = 2_000;

/** Resolves with the failures. Stops at the first step that fails, since later steps depend on it. */
export async function runScenario(options: RunScenarioOptions): Promise<ScenarioFailure[]> {
  const { scenario, clock, disabledSafeguards } = options;
  const world = createWorld({
    clock,
    entryCount: scenario.world.entries,
    services: resolveServices(scenario),
    instanceLagMs: scenario.world.instanceLagMs,
    disabledSafeguards,
  });
  const run: ScenarioRun = { world, scenario, documents: new Map(), orders: new Map() };
  try {
    await world.start();
    const failures = await runSteps(run);
    options.onEnd?.(world, failures);
    return failures;
  } finally {
    world.close();
  }
}

async function runSteps(run: ScenarioRun): Promise<ScenarioFailure[]> {
  const { world, scenario } = run;
  for (const step of scenario.steps) {
    const messages = [...(await runStep(run, step)), ...world.checks.violations()];
    if (messages.length > 0) {
      return messages.map((message) => ({ line: step.line, message }));
    }
  }
  if (!scenario.endsQuiet) {
    return [];
  }
  await world.time.advance(idleWithinMs);
  const line = scenario.steps.at(-1)?.line ?? 0;
  return [...world.checks.violations(), ...world.checks.idleViolations()].map((message) => ({
    line,
    message: `at the end: ${message}`,
  }));
}

async function runStep(scenarioRun: ScenarioRun, step: Step): Promise<string[]> {
  if (step.verb === 'expect') {
    return step.input.flatMap((expectation) =>
      checkExpectation(scenarioRun.world, scenarioRun.orders, expectation).map(
        (message) => `line ${expectation.line}: ${message}`,
      ),
    );
  }
  const run = runners[step.verb] as (target: ScenarioRun, input: unknown) => unknown;
  const outcome = await run(scenarioRun, step.input);
  return typeof outcome === 'string' ? [outcome] : [];
}

const runners: StepRunners = {
  start: ({ world }, id) => restart(world, id),
  send,
  cancel: ({ world }, name) => find(world.requests, name).disconnect(),
  crash: ({ world }, id) => {
    const agent = agentOfEngine(world, id);
    (agent?.engine() ?? world.entries.get(id) ?? find(world.agents, id)).crash();
  },
  vanish: ({ world }, id) => (world.entries.get(id) ?? find(world.agents, id)).vanish(),
  pause: ({ world }, id) => processOf(world, id).pause(),
  resume: ({ world }, id) => processOf(world, id).resume(),
  restart: ({ world }, id) => restart(world, id),
  leave: ({ world }, id) => {
    const agent = find(world.agents, id);
    if (agent.process().state() === 'running') {
      agent.leave();
    }
    world.platform.control.markLeaving(id);
  },
  cut: ({ world }, [oneId, otherId]) => world.network.cut(oneId, otherId),
  heal: ({ world }, [oneId, otherId]) => world.network.heal(oneId, otherId),
  'lose-answer': ({ world }, input) => {
    if ('verb' in input) {
      const { verb, kind, effect, lateMs, count } = input;
      world.platform.control.loseResponses({ verb, kind, effect, lateMs, count });
    } else {
      world.network.loseResponses({ agentId: input.of, call: input.call, count: input.count });
    }
  },
  repeat: ({ world }, { of, call, copies }) => world.network.setCopies(of, call, copies),
  corrupt: ({ world }, { from, frames, after, count }) =>
    world.network.corruptFrames({ agentId: from, kind: frames, after, count }),
  engine: ({ world }, { name, set }) => {
    const agent = agentOfEngine(world, name);
    invariant(agent !== undefined, `there is no ${name}`);
    agent.engineProcess.run(() => agent.engine().control(set));
  },
  platform: ({ world }, state) => {
    const { control } = world.platform;
    control.setOutage(state === 'down');
    control.setSlow(state === 'slow' ? slowPlatformMs : 0);
  },
  'clear-faults': ({ world }) => {
    world.network.clear();
    world.platform.control.clearFaults();
  },
  recover: ({ world }) => recover(world),
  settle: async ({ world }, { withinMs }) => {
    const requests = [...world.requests.values()];
    const isSettled = () => requests.every(({ outcome }) => outcome !== undefined);
    await world.time.advance(isSettled() ? 0 : withinMs, isSettled);
    const pending = requests.filter(({ outcome }) => outcome === undefined);
    return pending.length === 0
      ? undefined
      : `no response within ${withinMs} ms: ${pending.map(({ name }) => name).join(', ')}`;
  },
  edit,
  lease: async ({ world }, { duty, fencingNumber }) => {
    const { platform, time } = world;
    void platform
      .get(objectKinds.lease, duty)
      .andThen(({ version }) =>
        platform.update(objectKinds.lease, duty, version, { fencingNumber }),
      )
      .orElse(() => platform.create(objectKinds.lease, duty, { fencingNumber }))
      .unwrapOr(undefined);
    await time.advance(20);
  },
  order: ({ world, orders }, { named, to, fencingNumber, validForMs }) => {
    const agent = find(world.agents, to);
    const { service } = agent.instance;
    const order = { kind: 'load-model', model: 'another', version: '2' } as const;
    const request = { holderId: 'holder', fencingNumber, validForMs, order };
    void agent
      .order({ ...request, service: service ?? '' })
      .then(({ kind }) => orders.set(named, kind));
  },
  advance: ({ world }, durationMs) => world.time.advance(durationMs),
  until: async ({ world }, { request, stage, withinMs }) => {
    const isReached = () => isAtStage(world, request, stage);
    if (!isReached()) {
      await world.time.advance(withinMs, isReached);
    }
    return isReached() ? undefined : `${request} is not at ${stage} after ${withinMs} ms`;
  },
};

function agentOfEngine(world: World, engineId: string) {
  return [...world.agents.values()].find((agent) => agent.engineId === engineId);
}

function processOf(world: World, id: string): SimulatedProcess {
  return (
    agentOfEngine(world, id)?.engineProcess ??
    world.entries.get(id)?.core().process ??
    find(world.agents, id).process()
  );
}

function restart(world: World, id: string): void {
  const engineAgent = agentOfEngine(world, id);
  if (engineAgent !== undefined) {
    engineAgent.restartEngine();
    return;
  }
  (world.entries.get(id) ?? find(world.agents, id)).restart();
}

function recover(world: World): void {
  const { network, platform, agents, entries } = world;
  network.clear();
  platform.control.clearFaults();
  agents.forEach((agent) => {
    platform.control.putInstance(agent.instance);
    agent.engineProcess.resume();
    agent.process().resume();
    agent.engineProcess.run(() => agent.engine().control(healthyEngine));
    if (agent.isEngineDown()) {
      agent.restartEngine();
    }
    if (agent.process().state() === 'crashed' || agent.leavingSinceMs() !== undefined) {
      agent.restart();
    }
  });
  entries.forEach((entry) => {
    entry.core().process.resume();
    if (entry.core().process.state() === 'crashed') {
      entry.restart();
    }
  });
}

function send({ world, scenario }: ScenarioRun, input: StepInput<'send'>): void {
  const [firstService] = Object.keys(scenario.world.services);
  const { name, to, key, marked, outputTokens, institution, times } = input;
  const names =
    times === 1 ? [name] : Array.from({ length: times }, (_, index) => `${name}-${index + 1}`);
  names.forEach((each) =>
    world.send(to, {
      name: each,
      service: input.service ?? firstService ?? '',
      prompt: promptOf(input.topic ?? each, input.promptTokens),
      ...{ key, marked, outputTokens, institution },
      className: input.class,
    }),
  );
}

/** Creates a prompt that begins with its topic, so that prompts of different topics share no prefix. */
export function promptOf(topic: string, promptTokens: number): string {
  const charactersPerToken = 4;
  return `${topic} `.padEnd(promptTokens * charactersPerToken, `about ${topic}, `);
}

/** Writes the accepted document as the acceptor would. */
async function edit(run: ScenarioRun, input: StepInput<'edit'>): Promise<void> {
  const { world, documents } = run;
  const { service, generation, drain, release, quarantineMs } = input;
  const base = documents.get(service) ?? exampleDocument(service);
  const { quarantine } = base;
  const document: ServiceDocument = {
    ...base,
    drain: { ...base.drain, instances: drain ?? base.drain.instances },
    quarantine: {
      ...quarantine,
      release: release ?? quarantine.release,
      durationMs: quarantineMs ?? quarantine.durationMs,
    },
  };
  documents.set(service, document);
  await world.putAccepted(document, generation);
}
