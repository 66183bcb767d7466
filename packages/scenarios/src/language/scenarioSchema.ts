/** Schemas of the scenario language. */
import * as z from 'zod';
import { agentCalls } from '../world/network';
import { frameFaultKinds } from '../world/frameFaults';
import { safeguards } from '../world/safeguards';

const name = z.string().min(1);
const count = z.number().int().nonnegative();
const durationMs = z.number().int().nonnegative();
const workerRole = z.enum(['prefill', 'decode', 'both']);

/** Stages of a model request, as its leases and its response show them. */
export const requestStages = [
  'queued',
  'promised',
  'reserved',
  'prefill',
  'exported',
  'importing',
  'streaming',
  'first-token',
  'mid-stream',
  'answered',
] as const;

const engineFaults = z.strictObject({
  stallTransfers: z.boolean().optional(),
  failCancels: z.boolean().optional(),
  loseCancelAnswers: z.boolean().optional(),
  slowFactor: z.number().positive().optional(),
  paused: z.boolean().optional(),
  refuseWork: z.boolean().optional(),
  truncateStreams: z.literal(true).optional(),
});

const lostPlatformResponse = z.strictObject({
  of: z.literal('platform'),
  verb: z.enum(['get', 'list', 'create', 'update', 'remove']),
  kind: z.enum(['document', 'accepted', 'status', 'claim', 'lease', 'quarantine']).optional(),
  effect: z.enum(['applied', 'dropped', 'late']),
  lateMs: durationMs.optional(),
  count: count.default(1),
});
const lostAgentResponse = z.strictObject({
  of: name,
  call: z.enum(agentCalls),
  count: count.default(1),
});

const expectedResponse = z.strictObject({
  of: name,
  is: z.enum(['whole', 'refused', 'broken', 'left', 'pending', 'whole-or-refused']),
  reason: name.optional(),
  notRun: z.union([z.boolean(), z.literal('unknown')]).optional(),
  withinMs: durationMs.optional(),
  retryAfter: z.boolean().optional(),
  /** Minimum number of tokens received, whether or not the response has ended. */
  atLeastTokens: count.optional(),
});

/** Expectations of an `expect` step, by name. */
export const expectationSchemas = {
  answer: expectedResponse,
  runs: z.strictObject({
    key: name.optional(),
    request: name.optional(),
    atMost: count.optional(),
    exactly: count.optional(),
  }),
  held: z.strictObject({ engine: name, kvBytes: count }),
  generation: z.strictObject({ at: name, service: name, is: count }),
  'new-work': z.strictObject({ to: name, afterLeavingMs: durationMs, is: count }),
  order: z.strictObject({ named: name, is: z.enum(['done', 'refused']) }),
  'orders-taken': z.strictObject({ engine: name, is: z.array(count) }),
  retries: z.strictObject({ at: name, atMost: count }),
  'candidates-left': z.strictObject({ at: name, service: name, atLeast: count }),
} as const;
export type ExpectationName = keyof typeof expectationSchemas;

/** Steps of a scenario, by their verb. */
export const stepSchemas = {
  start: name,
  send: z.strictObject({
    name,
    to: name,
    service: name.optional(),
    key: name.optional(),
    marked: z.boolean().default(false),
    /** Requests with the same topic have the same prompt; if absent, the request's name is the topic. */
    topic: name.optional(),
    promptTokens: count.default(40),
    outputTokens: count.default(20),
    class: name.optional(),
    institution: name.optional(),
    /** Number of requests to send; more than one are named `name-1`, `name-2` and so on. */
    times: count.min(1).default(1),
  }),
  cancel: name,
  crash: name,
  vanish: name,
  pause: name,
  resume: name,
  restart: name,
  leave: name,
  cut: z.tuple([name, name]),
  heal: z.tuple([name, name]),
  'lose-answer': z.union([lostPlatformResponse, lostAgentResponse]),
  repeat: z.strictObject({ of: name, call: z.enum(agentCalls), copies: count }),
  corrupt: z.strictObject({
    from: name.optional(),
    frames: z.enum(frameFaultKinds),
    after: count.default(3),
    count: count.default(1),
  }),
  engine: z.strictObject({ name, set: engineFaults }),
  platform: z.enum(['down', 'slow', 'up']),
  'clear-faults': z.literal(true),
  /** Ends all faults: resumes paused processes and restarts crashed ones. */
  recover: z.literal(true),
  /** Advances until all requests have ended. */
  settle: z.strictObject({ withinMs: durationMs }),
  edit: z.strictObject({
    service: name,
    generation: count,
    drain: z.array(name).optional(),
    release: z.array(name).optional(),
    quarantineMs: durationMs.optional(),
  }),
  lease: z.strictObject({ duty: name, fencingNumber: count }),
  order: z.strictObject({
    named: name,
    to: name,
    fencingNumber: count,
    validForMs: durationMs.default(4000),
  }),
  advance: durationMs,
  until: z.strictObject({
    request: name,
    stage: z.enum(requestStages),
    withinMs: durationMs.default(5000),
  }),
  expect: z.array(z.unknown()).min(1),
} as const;
export type StepName = keyof typeof stepSchemas;

const worldSchema = z.strictObject({
  entries: count.min(1).default(1),
  /** Workers of each service, by the name of its example document. */
  services: z.record(
    name,
    z.strictObject({
      workers: z.array(workerRole).min(1),
      /** Number of requests that an engine's batch and memory hold; if absent, the engine's default. */
      slots: count.optional(),
      stepMs: z.number().positive().optional(),
      prefillMsPerToken: z.number().positive().optional(),
      poison: name.optional(),
    }),
  ),
  instanceLagMs: durationMs.default(0),
});

export const scenarioSchema = z.strictObject({
  /** Description: what happens, in what order, what the caller sees, and why. */
  tells: z.string().min(1),
  world: worldSchema,
  /** Safeguards without which the scenario must fail; each is disabled on its own. */
  failsWithout: z.array(z.enum(safeguards)).default([]),
  /** Whether the idle checks run at the end; false where the scenario's own faults still hold memory then. */
  endsQuiet: z.boolean().default(true),
  steps: z.array(z.unknown()).min(1),
});

export type StepInput<Name extends StepName> = z.infer<(typeof stepSchemas)[Name]>;
export type ExpectationInput<Name extends ExpectationName> = z.infer<
  (typeof expectationSchemas)[Name]
>;
/** One step, tagged by its verb. */
export type Step = {
  [Name in StepName]: Name extends 'expect'
    ? { verb: 'expect'; line: number; input: Expectation[] }
    : { verb: Name; line: number; input: StepInput<Name> };
}[StepName];
export type Expectation = {
  [Name in ExpectationName]: { kind: Name; line: number; input: ExpectationInput<Name> };
}[ExpectationName];

export interface Scenario extends Omit<z.infer<typeof scenarioSchema>, 'steps'> {
  steps: Step[];
}
