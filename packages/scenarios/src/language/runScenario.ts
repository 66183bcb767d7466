/** Runs a scenario: its steps in order, the invariants after each, and quiet at its end. */
import type { ServiceDocument } from '@bluebellhitch/document';
import { objectKinds } from '@bluebellhitch/objects';
import { invariant } from '@bluebellhitch/shared';
import { exampleDocument, servicesOf } from './exampleServices';
import { unmetExpectation } from './expectations';
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
  without?: readonly Safeguard[];
  /** Called before the world is closed. */
  onEnd?: (world: World, failures: readonly ScenarioFailure[]) => void;
}

/** What did not hold, with the line of its step. */
export interface ScenarioFailure {
  line: number;
  message: string;
}

/** Work in progress of a running scenario. */
interface Stage {
  world: World;
  scenario: Scenario;
  documents: Map<string, ServiceDocument>;
  orders: Map<string, string>;
}

type StepRunners = {
  [Name in Exclude<StepName, 'expect'>]: (stage: Stage, input: StepInput<Name>) => unknown;
};

const slowPlatformMs = 800;
const healthyEngine = {
  ...{ stallTransfers: false, failCancels: false, loseCancelAnswers: false },
  ...{ slowFactor: 1, paused: false, refuseWork: false },
};
/** Within this time of the last answer all memory is free. */
const quietMs = 2_000;

/** Resolves with what failed: the first failing step only, since later ones build on it. */
export async function runScenario(options: RunScenarioOptions): Promise<ScenarioFailure[]> {
  const { scenario, clock, without } = options;
  const world = createWorld({
    clock,
    entryCount: scenario.world.entries,
    services: servicesOf(scenario),
    instanceLagMs: scenario.world.instanceLagMs,
    without,
  });
  const stage: Stage = { world, scenario, documents: new Map(), orders: new Map() };
  try {
    await world.start();
    const failures = await runSteps(stage);
    options.onEnd?.(world, failures);
    return failures;
  } finally {
    world.close();
  }
}

async function runSteps(stage: Stage): Promise<ScenarioFailure[]> {
  const { world, scenario } = stage;
  for (const step of scenario.steps) {
    const messages = [...(await runStep(stage, step)), ...world.checks.violations()];
    if (messages.length > 0) {
      return messages.map((message) => ({ line: step.line, message }));
    }
  }
  if (!scenario.endsQuiet) {
    return [];
  }
  await world.time.advance(quietMs);
  const line = scenario.steps.at(-1)?.line ?? 0;
  return [...world.checks.violations(), ...world.checks.quietViolations()].map((message) => ({
    line,
    message: `at the end: ${message}`,
  }));
}

async function runStep(stage: Stage, step: Step): Promise<string[]> {
  if (step.verb === 'expect') {
    return step.input.flatMap((expectation) =>
      unmetExpectation(stage.world, stage.orders, expectation).map(
        (message) => `line ${expectation.line}: ${message}`,
      ),
    );
  }
  const run = runners[step.verb] as (target: Stage, input: unknown) => unknown;
  const outcome = await run(stage, step.input);
  return typeof outcome === 'string' ? [outcome] : [];
}

const runners: StepRunners = {
  start: ({ world }, id) => restart(world, id),
  send,
  cancel: ({ world }, name) => find(world.requests, name).leave(),
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
      world.platform.control.loseAnswers({ verb, kind, effect, lateMs, count });
    } else {
      world.network.loseAnswers({ agentId: input.of, call: input.call, count: input.count });
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
    const isSettled = () => requests.every(({ answer }) => answer !== undefined);
    await world.time.advance(isSettled() ? 0 : withinMs, isSettled);
    const pending = requests.filter(({ answer }) => answer === undefined);
    return pending.length === 0
      ? undefined
      : `no answer within ${withinMs} ms: ${pending.map(({ name }) => name).join(', ')}`;
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
    const isThere = () => isAtStage(world, request, stage);
    if (!isThere()) {
      await world.time.advance(withinMs, isThere);
    }
    return isThere() ? undefined : `${request} is not at ${stage} after ${withinMs} ms`;
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

function send({ world, scenario }: Stage, input: StepInput<'send'>): void {
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

/** A prompt that begins with its topic, so that prompts of different topics share no prefix. */
export function promptOf(topic: string, promptTokens: number): string {
  const charactersPerToken = 4;
  return `${topic} `.padEnd(promptTokens * charactersPerToken, `about ${topic}, `);
}

/** Writes the accepted document as its acceptor would. */
async function edit(stage: Stage, input: StepInput<'edit'>): Promise<void> {
  const { world, documents } = stage;
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
