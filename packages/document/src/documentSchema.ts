/**
 * Schema of the service document, in which operators configure a service. All durations are in
 * milliseconds, all rates per second. Unknown fields are rejected. Upper bounds limit the resources that
 * a process derives from a document (timers, metric series, maps), whatever its author writes.
 */
import * as z from 'zod';

const maxIdentifierLength = 200;
const oneHourMs = 3_600_000;

const name = z
  .string()
  .regex(
    /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/,
    'must be lower-case letters, digits and inner hyphens, 63 at most',
  );
const identifier = z.string().min(1).max(maxIdentifierLength);

/** Latency targets that a request must meet to count toward goodput. */
export const targetsSchema = z.strictObject({
  firstTokenMs: z
    .number()
    .positive()
    .max(oneHourMs)
    .default(620)
    .describe('Target of the time to the first token.'),
  betweenTokensMs: z
    .number()
    .positive()
    .max(60_000)
    .default(28)
    .describe('Target of the time between tokens.'),
});

/** Relative value of a completed request and cost of wasted prefill work. */
export const weightsSchema = z.strictObject({
  goodput: z
    .number()
    .positive()
    .max(1000)
    .default(1)
    .describe('Gain of one request completed within both targets.'),
  wastedPrefill: z
    .number()
    .nonnegative()
    .max(1000)
    .default(0.25)
    .describe('Loss of one unused prefill of average cost, in the unit of `goodput`.'),
});

/** One class of requests: its priority, its share under contention and its limits. */
export const trafficClassSchema = z.strictObject({
  name: name.describe('Callers choose the class with the `x-class` header.'),
  priority: z
    .number()
    .int()
    .min(0)
    .max(9)
    .default(5)
    .describe('0 is the most urgent, 9 the least.'),
  weight: z
    .number()
    .positive()
    .max(1000)
    .default(1)
    .describe('Share under contention, relative to the other classes.'),
  requestsPerSecond: z
    .number()
    .positive()
    .max(1_000_000)
    .optional()
    .describe('Limit over all entries together. Absent: no limit.'),
  burst: z
    .number()
    .min(1)
    .max(1_000_000)
    .optional()
    .describe('Requests admitted at once above the rate. Absent: one second of the rate.'),
  queueLimit: z
    .number()
    .int()
    .nonnegative()
    .max(10_000)
    .default(64)
    .describe('Requests that may wait at one backend server; more are refused as not run.'),
});

/** A host, path prefix and methods whose plain requests are routed to the service. */
export const routeSchema = z.strictObject({
  host: z
    .string()
    .regex(/^[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?$/, 'must be a host name without a port')
    .optional()
    .describe('`Host` header to match, without a port. Absent: any host.'),
  pathPrefix: z
    .string()
    .max(1024)
    .regex(/^\/[^?#\s]*$/, 'must start with `/` and hold no query, fragment or space')
    .default('/')
    .describe(
      'Matches a path that starts with it; the longest match wins. The whole path is passed on.',
    ),
  methods: z
    .array(z.string().regex(/^[A-Z]{1,20}$/, 'must be an HTTP method in capitals'))
    .min(1)
    .max(20)
    .optional()
    .describe('HTTP methods to match. Absent: all.'),
  repeatable: z
    .boolean()
    .default(true)
    .describe(
      'Whether a call may be tried again. `false`: it runs at most once, and callers must send `Idempotency-Key`.',
    ),
});

/** A model that every engine of the service loads. */
export const modelSchema = z.strictObject({
  name: identifier.describe('Name of the model in the weight store.'),
  version: identifier
    .default('1')
    .describe('Version that the engines are brought to. Quote it, so that YAML reads text.'),
  adapters: z
    .array(identifier)
    .max(1024)
    .default([])
    .describe('Adapters loaded beside the model, by name.'),
});

const limitsSchema = z
  .strictObject({
    requestTimeoutMs: z
      .number()
      .positive()
      .max(oneHourMs)
      .default(60_000)
      .describe('Deadline of one request, with its retries.'),
    firstByteTimeoutMs: z
      .number()
      .positive()
      .max(oneHourMs)
      .default(10_000)
      .describe('Longest wait for the head of a plain answer; a later server counts as stalled.'),
    maxBodyBytes: z
      .number()
      .int()
      .positive()
      .max(64 * 1024 * 1024)
      .default(4 * 1024 * 1024)
      .describe('Larger request bodies are refused.'),
    maxOutputTokens: z
      .number()
      .int()
      .positive()
      .max(131_072)
      .default(2048)
      .describe('Longest answer of a model request.'),
    slotsPerServer: z
      .number()
      .int()
      .positive()
      .max(10_000)
      .default(64)
      .describe('Concurrent plain calls at one backend server.'),
  })
  .prefault({})
  .describe('Bounds of one request and of one backend server.');

const retrySchema = z
  .strictObject({
    maxAttempts: z
      .number()
      .int()
      .min(1)
      .max(10)
      .default(3)
      .describe('Attempts, the first included.'),
    budgetRatio: z
      .number()
      .min(0)
      .max(1)
      .default(0.1)
      .describe('Retries allowed for each successful request of the service.'),
    backoffMs: z
      .number()
      .positive()
      .max(60_000)
      .default(20)
      .describe('Mean wait before the first retry; it grows and is jittered.'),
  })
  .prefault({})
  .describe('Retries of requests that certainly did not run or are repeatable.');

const drainSchema = z
  .strictObject({
    boundMs: z
      .number()
      .positive()
      .max(oneHourMs)
      .default(60_000)
      .describe(
        'Longest graceful stop; at least `limits.requestTimeoutMs`, so that nothing is cut off.',
      ),
    instances: z
      .array(identifier)
      .max(1024)
      .default([])
      .describe('Ids of instances that take no new work.'),
  })
  .prefault({})
  .describe('Instances that leave.');

const quarantineSchema = z
  .strictObject({
    strikes: z
      .number()
      .int()
      .min(1)
      .max(10)
      .default(2)
      .describe('Backend servers that died under a request before its like is refused.'),
    durationMs: z
      .number()
      .positive()
      .max(oneHourMs)
      .default(600_000)
      .describe('How long such requests are refused.'),
    release: z
      .array(identifier)
      .max(1024)
      .default([])
      .describe('Fingerprints to release before their time.'),
    block: z.array(identifier).max(1024).default([]).describe('Fingerprints to refuse always.'),
  })
  .prefault({})
  .describe('Requests that crash backend servers.');

const rolloutSchema = z
  .strictObject({
    maxUnavailableShare: z
      .number()
      .gt(0)
      .max(1)
      .default(0.25)
      .describe(
        'Share of the workers that a change of models or roles may take out of service at once.',
      ),
    prefillWorkers: z
      .number()
      .int()
      .nonnegative()
      .max(100_000)
      .optional()
      .describe('Workers kept in the prefill role. Absent: follows the measured load.'),
  })
  .prefault({})
  .describe('Changes of models, versions, adapters and roles.');

const backendServersSchema = z
  .strictObject({
    checkFencing: z
      .boolean()
      .default(false)
      .describe('Whether the engines themselves refuse orders with an old fencing number.'),
  })
  .prefault({})
  .describe('What the backend servers can do.');

/** The whole document. `documentChecks.ts` has the rules that involve several fields. */
export const serviceDocumentSchema = z.strictObject({
  apiVersion: z.literal('bluebellhitch/v1').describe('Version of this format.'),
  service: name.describe('Unique in the fleet; callers of a model send it as `model`.'),
  institution: name.describe('Institution that owns the service.'),
  kind: z.enum(['model', 'plain']).describe('`model`: engines; `plain`: HTTP backend servers.'),
  dataCentres: z.array(name).min(1).max(64).describe('Data centres that serve it.'),
  models: z
    .array(modelSchema)
    .max(64)
    .default([])
    .describe('What each engine loads; the first is the default. Required for kind `model`.'),
  targets: targetsSchema.prefault({}).describe('Latency targets that goodput counts by.'),
  weights: weightsSchema
    .prefault({})
    .describe('What a served request gains and a wasted prefill costs.'),
  classes: z
    .array(trafficClassSchema)
    .min(1)
    .max(32)
    .default([trafficClassSchema.parse({ name: 'standard' })])
    .describe(
      'Classes of requests. The first also takes those that name no class or an unknown one.',
    ),
  routes: z
    .array(routeSchema)
    .max(256)
    .default([])
    .describe('Paths and hosts of the service. Required for kind `plain`.'),
  limits: limitsSchema,
  retry: retrySchema,
  drain: drainSchema,
  quarantine: quarantineSchema,
  rollout: rolloutSchema,
  backendServers: backendServersSchema,
});

export type ServiceDocument = z.infer<typeof serviceDocumentSchema>;
export type TrafficClass = z.infer<typeof trafficClassSchema>;
export type Route = z.infer<typeof routeSchema>;

/** Value of an `accepted` object and of an `accepted` feed record, as written by the acceptor. */
export const acceptedDocumentSchema = z.object({
  generation: z.number().int().positive(),
  /** Version of the `document` object from which this generation was made. */
  documentVersion: z.number().int().nonnegative(),
  acceptedAt: z.string(),
  document: serviceDocumentSchema,
});
export type AcceptedDocument = z.infer<typeof acceptedDocumentSchema>;
