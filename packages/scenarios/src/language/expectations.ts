/** Compares a world with what a scenario expects; an empty list means that all holds. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { SentRequest } from '../world/callers';
import type { World } from '../world/world';
import { find } from './lookups';
import type { Expectation, ExpectationInput, ExpectationName } from './scenarioSchema';

/** Decision records that are looked at. */
const recordLimit = 500;

/** What came of orders, by their names in the scenario. */
export type OrderOutcomes = ReadonlyMap<string, string>;

type Comparisons = {
  [Name in ExpectationName]: (
    world: World,
    expected: ExpectationInput<Name>,
    orders: OrderOutcomes,
  ) => string[];
};

const comparisons: Comparisons = {
  answer: (world, expected) => unmetAnswer(find(world.requests, expected.of), expected),
  runs: unmetRuns,
  held: unmetHeld,
  generation: unmetGeneration,
  'new-work': unmetNewWork,
  order: (_world, { named, is }, orders) => {
    const outcome = orders.get(named);
    const told = `order ${named} (${outcome ?? 'unanswered'})`;
    return differs(told, outcome === 'done' ? 'done' : 'refused', is);
  },
  'orders-taken': (world, { engine, is }) => {
    const { orders } = agentBeside(world, engine).engine().stats();
    const taken = orders.map(({ fencingNumber }) => fencingNumber).join(' ');
    return differs(`fencing numbers of orders that ${engine} took`, taken, is.join(' '));
  },
  retries: unmetRetries,
  'candidates-left': unmetCandidates,
};

export function unmetExpectation(
  world: World,
  orders: OrderOutcomes,
  { asks, input }: Expectation,
): string[] {
  const compare = comparisons[asks] as (
    target: World,
    expected: unknown,
    outcomes: OrderOutcomes,
  ) => string[];
  return compare(world, input, orders);
}

function differs(what: string, is: unknown, expected: unknown): string[] {
  return is === expected ? [] : [`${what}: ${String(is)}, not ${String(expected)}`];
}

function unmetAnswer(sent: SentRequest, expected: ExpectationInput<'answer'>): string[] {
  const { answer, name, tokenCount } = sent;
  const kind = answer?.kind ?? 'pending';
  const allowed = expected.is === 'whole-or-refused' ? ['whole', 'refused'] : [expected.is];
  if (!allowed.includes(kind)) {
    const told = JSON.stringify({ ...answer, tokenCount });
    return [`${name}: is ${told}, not ${expected.is}`];
  }
  const tookMs = (sent.answeredAtMs ?? Infinity) - sent.sentAtMs;
  const { withinMs = Infinity, atLeastTokens = 0 } = expected;
  return [
    ...unmetRefusal(sent, expected),
    ...(tookMs <= withinMs ? [] : [`${name}: took ${tookMs} ms, not ${withinMs}`]),
    ...(tokenCount >= atLeastTokens ? [] : [`${name}: ${tokenCount} tokens, not ${atLeastTokens}`]),
  ];
}

function unmetRefusal(
  { answer, name }: SentRequest,
  { reason, notRun, retryAfter }: ExpectationInput<'answer'>,
): string[] {
  const refusal = answer?.kind === 'refused' ? answer : undefined;
  const tellsWhen = refusal?.retryAfterMs !== undefined;
  return [
    ...(reason === undefined ? [] : differs(`${name}: reason`, refusal?.reason, reason)),
    ...(notRun === undefined ? [] : differs(`${name}: notRun`, refusal?.notRun, notRun)),
    ...(retryAfter === undefined
      ? []
      : differs(`${name}: tells when to come back`, tellsWhen, retryAfter)),
  ];
}

function unmetRuns(world: World, expected: ExpectationInput<'runs'>): string[] {
  const { key, request, atMost, exactly } = expected;
  const attempts = [...world.requests.values()]
    .filter((sent) => sent.name === request || (key !== undefined && sent.key === key))
    .flatMap(({ name }) => world.checks.decodesOf(name));
  const told = `${key ?? request} ran ${attempts.length} times (${attempts.join(', ')})`;
  const isMet =
    attempts.length <= (atMost ?? Infinity) && attempts.length === (exactly ?? attempts.length);
  return isMet ? [] : [told];
}

function agentBeside(world: World, engineId: string) {
  const agents = [...world.agents.values()].map((agent) => [agent.engineId, agent] as const);
  return find(new Map(agents), engineId);
}

function unmetHeld(world: World, { engine, kvBytes }: ExpectationInput<'held'>): string[] {
  const agents = engine === 'all' ? [...world.agents.values()] : [agentBeside(world, engine)];
  return agents.flatMap((agent) =>
    differs(`bytes held in ${agent.engineId}`, agent.engine().stats().heldKvBytes, kvBytes),
  );
}

function unmetNewWork(world: World, expected: ExpectationInput<'new-work'>): string[] {
  const { grantTimesMs, leavingSinceMs } = find(world.agents, expected.to);
  const sinceMs = (leavingSinceMs() ?? Infinity) + expected.afterLeavingMs;
  const granted = grantTimesMs.filter((atMs) => atMs >= sinceMs).length;
  return differs(`reservations that ${expected.to} granted while leaving`, granted, expected.is);
}

function unmetCandidates(
  world: World,
  { at, service, atLeast }: ExpectationInput<'candidates-left'>,
): string[] {
  const { context, services } = find(world.entries, at).core();
  const document = services.get(service)?.document;
  const members = document === undefined ? [] : context.runtimes.members(document).members;
  const ejected = context.runtimes.of(service).outliers.ejected(monotonicNowMs());
  const left = members.filter(({ id }) => !ejected.has(id)).length;
  return left >= atLeast ? [] : [`${left} candidates are left at ${at}, not ${atLeast}`];
}

function unmetGeneration(
  world: World,
  { at, service, is }: ExpectationInput<'generation'>,
): string[] {
  const entries = [...world.entries.values()].map((entry) => entry.core().process);
  const agents = [...world.agents.values()]
    .filter(({ instance }) => instance.service === service)
    .map((agent) => agent.process());
  const processes = [...entries, ...agents].filter(({ id }) => at === 'all' || id === at);
  return processes.flatMap((process) =>
    differs(
      `generation of ${service} at ${process.id}`,
      world.checks.generationOf(process, service),
      is,
    ),
  );
}

function unmetRetries(world: World, { at, atMost }: ExpectationInput<'retries'>): string[] {
  const { ring } = find(world.entries, at).core().context;
  const retries = ring
    .recent(recordLimit)
    .flatMap(({ steps }) => steps)
    .filter(({ kind, detail }) => kind === 'attempt-failed' && detail.next === 'retry');
  return retries.length <= atMost ? [] : [`${at} retried ${retries.length} times, not ${atMost}`];
}
