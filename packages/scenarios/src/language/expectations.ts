/** Checks a world against a scenario's expectations. Each check returns messages; none means that it passes. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { SentRequest } from '../world/callers';
import type { World } from '../world/world';
import { find } from './lookups';
import type { Expectation, ExpectationInput, ExpectationName } from './scenarioSchema';

/** Number of decision records that are read, the most recent ones. */
const maxRecords = 500;

/** Outcomes of orders, by the names that the scenario gives them. */
export type OrderOutcomes = ReadonlyMap<string, string>;

type Comparisons = {
  [Name in ExpectationName]: (
    world: World,
    expected: ExpectationInput<Name>,
    orders: OrderOutcomes,
  ) => string[];
};

const comparisons: Comparisons = {
  answer: (world, expected) => checkResponse(find(world.requests, expected.of), expected),
  runs: checkRuns,
  held: checkHeld,
  generation: checkGeneration,
  'new-work': checkNewWork,
  order: (_world, { named, is }, orders) => {
    const outcome = orders.get(named);
    const description = `order ${named} (${outcome ?? 'unanswered'})`;
    return compareValues(description, outcome === 'done' ? 'done' : 'refused', is);
  },
  'orders-taken': (world, { engine, is }) => {
    const { orders } = agentOfEngine(world, engine).engine().stats();
    const received = orders.map(({ fencingNumber }) => fencingNumber).join(' ');
    return compareValues(
      `fencing numbers of orders that ${engine} received`,
      received,
      is.join(' '),
    );
  },
  retries: checkRetries,
  'candidates-left': checkCandidates,
};

export function checkExpectation(
  world: World,
  orders: OrderOutcomes,
  { kind, input }: Expectation,
): string[] {
  const compare = comparisons[kind] as (
    target: World,
    expected: unknown,
    outcomes: OrderOutcomes,
  ) => string[];
  return compare(world, input, orders);
}

function compareValues(what: string, is: unknown, expected: unknown): string[] {
  return is === expected ? [] : [`${what}: ${String(is)}, not ${String(expected)}`];
}

function checkResponse(sent: SentRequest, expected: ExpectationInput<'answer'>): string[] {
  const { outcome, name, tokenCount } = sent;
  const kind = outcome?.kind ?? 'pending';
  const allowed = expected.is === 'whole-or-refused' ? ['whole', 'refused'] : [expected.is];
  if (!allowed.includes(kind)) {
    const description = JSON.stringify({ ...outcome, tokenCount });
    return [`${name}: is ${description}, not ${expected.is}`];
  }
  const tookMs = (sent.endedAtMs ?? Infinity) - sent.sentAtMs;
  const { withinMs = Infinity, atLeastTokens = 0 } = expected;
  return [
    ...checkRefusal(sent, expected),
    ...(tookMs <= withinMs ? [] : [`${name}: took ${tookMs} ms, not ${withinMs}`]),
    ...(tokenCount >= atLeastTokens ? [] : [`${name}: ${tokenCount} tokens, not ${atLeastTokens}`]),
  ];
}

function checkRefusal(
  { outcome, name }: SentRequest,
  { reason, notRun, retryAfter }: ExpectationInput<'answer'>,
): string[] {
  const refusal = outcome?.kind === 'refused' ? outcome : undefined;
  const hasRetryAfter = refusal?.retryAfterMs !== undefined;
  return [
    ...(reason === undefined ? [] : compareValues(`${name}: reason`, refusal?.reason, reason)),
    ...(notRun === undefined ? [] : compareValues(`${name}: notRun`, refusal?.notRun, notRun)),
    ...(retryAfter === undefined
      ? []
      : compareValues(`${name}: has a time for a retry`, hasRetryAfter, retryAfter)),
  ];
}

function checkRuns(world: World, expected: ExpectationInput<'runs'>): string[] {
  const { key, request, atMost, exactly } = expected;
  const attempts = [...world.requests.values()]
    .filter((sent) => sent.name === request || (key !== undefined && sent.key === key))
    .flatMap(({ name }) => world.checks.decodesOf(name));
  const description = `${key ?? request} ran ${attempts.length} times (${attempts.join(', ')})`;
  const isMet =
    attempts.length <= (atMost ?? Infinity) && attempts.length === (exactly ?? attempts.length);
  return isMet ? [] : [description];
}

function agentOfEngine(world: World, engineId: string) {
  const agents = [...world.agents.values()].map((agent) => [agent.engineId, agent] as const);
  return find(new Map(agents), engineId);
}

function checkHeld(world: World, { engine, kvBytes }: ExpectationInput<'held'>): string[] {
  const agents = engine === 'all' ? [...world.agents.values()] : [agentOfEngine(world, engine)];
  return agents.flatMap((agent) =>
    compareValues(`bytes held in ${agent.engineId}`, agent.engine().stats().heldKvBytes, kvBytes),
  );
}

function checkNewWork(world: World, expected: ExpectationInput<'new-work'>): string[] {
  const { grantTimesMs, leavingSinceMs } = find(world.agents, expected.to);
  const sinceMs = (leavingSinceMs() ?? Infinity) + expected.afterLeavingMs;
  const granted = grantTimesMs.filter((atMs) => atMs >= sinceMs).length;
  return compareValues(
    `reservations that ${expected.to} granted while leaving`,
    granted,
    expected.is,
  );
}

function checkCandidates(
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

function checkGeneration(
  world: World,
  { at, service, is }: ExpectationInput<'generation'>,
): string[] {
  const entries = [...world.entries.values()].map((entry) => entry.core().process);
  const agents = [...world.agents.values()]
    .filter(({ instance }) => instance.service === service)
    .map((agent) => agent.process());
  const processes = [...entries, ...agents].filter(({ id }) => at === 'all' || id === at);
  return processes.flatMap((process) =>
    compareValues(
      `generation of ${service} at ${process.id}`,
      world.checks.generationOf(process, service),
      is,
    ),
  );
}

function checkRetries(world: World, { at, atMost }: ExpectationInput<'retries'>): string[] {
  const { ring } = find(world.entries, at).core().context;
  const retries = ring
    .recent(maxRecords)
    .flatMap(({ steps }) => steps)
    .filter(({ kind, detail }) => kind === 'attempt-failed' && detail.next === 'retry');
  return retries.length <= atMost ? [] : [`${at} retried ${retries.length} times, not ${atMost}`];
}
