/**
 * The service document: the one thing that operators edit. All durations are milliseconds, all rates
 * are per second. Unknown fields are refused.
 */
import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/, 'must be lower-case letters, digits and hyphens');

/** Latency targets of a request that counts toward goodput. */
export const targetsSchema = z.strictObject({
  firstTokenMs: z.number().positive().default(620).describe('Time to the first token, in ms.'),
  betweenTokensMs: z.number().positive().default(28).describe('Time between tokens, in ms.'),
});

/** How the service weighs one completed request against prefill work thrown away. */
export const weightsSchema = z.strictObject({
  goodput: z.number().nonnegative().default(1).describe('Gain of a request within both targets.'),
  wastedPrefill: z
    .number()
    .nonnegative()
    .default(0.25)
    .describe('Loss of one unused prefill of average cost.'),
});

export const trafficClassSchema = z.strictObject({
  name: name.describe('Callers choose it by the x-class header.'),
  priority: z.number().int().min(0).max(9).default(5).describe('0 is the most urgent.'),
  weight: z.number().positive().max(1000).default(1).describe('Share under contention.'),
  requestsPerSecond: z.number().positive().optional().describe('Limit over all entries; absent: none.'),
  burst: z.number().positive().optional().describe('Requests above the rate at once; default one second.'),
  queueLimit: z.number().int().nonnegative().default(64).describe('Waiting requests per agent.'),
});

export const routeSchema = z.strictObject({
  host: z.string().min(1).optional().describe('Host header to match, without a port.'),
  pathPrefix: z.string().startsWith('/').default('/').describe('Longest match wins.'),
  methods: z.array(z.string().min(1)).optional().describe('Absent: all methods.'),
  repeatable: z
    .boolean()
    .default(true)
    .describe('false: runs at most once, and callers must send Idempotency-Key.'),
});

export const modelSchema = z.strictObject({
  name: z.string().min(1),
  version: z.string().min(1).default('1'),
  adapters: z.array(z.string().min(1)).default([]),
});

export const serviceDocumentSchema = z.strictObject({
  apiVersion: z.literal('bluebellhitch/v1'),
  service: name.describe('Unique in the fleet; callers use it as the model name.'),
  institution: name,
  kind: z.enum(['model', 'plain']),
  dataCentres: z.array(name).min(1),
  models: z.array(modelSchema).default([]).describe('What each engine loads; required for kind model.'),
  targets: targetsSchema.prefault({}),
  weights: weightsSchema.prefault({}),
  classes: z.array(trafficClassSchema).min(1).default([trafficClassSchema.parse({ name: 'standard' })]),
  routes: z.array(routeSchema).default([]).describe('Plain traffic that belongs to this service.'),
  limits: z
    .strictObject({
      requestTimeoutMs: z.number().positive().max(3_600_000).default(60_000),
      maxBodyBytes: z.number().int().positive().max(64 * 1024 * 1024).default(4 * 1024 * 1024),
      maxOutputTokens: z.number().int().positive().max(131_072).default(2048),
      slotsPerServer: z
        .number()
        .int()
        .positive()
        .max(10_000)
        .default(64)
        .describe('Concurrent plain calls per backend server.'),
    })
    .prefault({}),
  retry: z
    .strictObject({
      maxAttempts: z.number().int().min(1).max(10).default(3),
      budgetRatio: z.number().min(0).max(1).default(0.1).describe('Retries per successful request.'),
      backoffMs: z.number().positive().default(20),
    })
    .prefault({}),
  drain: z
    .strictObject({
      boundMs: z.number().positive().max(3_600_000).default(30_000).describe('Longest graceful stop.'),
      instances: z.array(z.string().min(1)).default([]).describe('Instance ids that take no new work.'),
    })
    .prefault({}),
  quarantine: z
    .strictObject({
      strikes: z.number().int().min(1).max(10).default(2),
      durationMs: z.number().positive().default(600_000),
      release: z.array(z.string()).default([]).describe('Fingerprints to release.'),
      block: z.array(z.string()).default([]).describe('Fingerprints to refuse always.'),
    })
    .prefault({}),
  rollout: z
    .strictObject({
      maxUnavailableShare: z.number().gt(0).max(1).default(0.25),
      prefillWorkers: z
        .number()
        .int()
        .nonnegative()
        .optional()
        .describe('Workers in the prefill role; absent: follows pressure.'),
    })
    .prefault({}),
  backendServers: z
    .strictObject({
      checkFencing: z.boolean().default(false).describe('Whether engines refuse old fencing numbers.'),
    })
    .prefault({}),
});

export type ServiceDocument = z.infer<typeof serviceDocumentSchema>;
export type TrafficClass = z.infer<typeof trafficClassSchema>;
export type Route = z.infer<typeof routeSchema>;

/** What the acceptor writes: the value of an `accepted` object and of an `accepted` feed record. */
export const acceptedDocumentSchema = z.object({
  generation: z.number().int().positive(),
  /** Version of the `document` object that this generation was made from. */
  documentVersion: z.number().int().nonnegative(),
  acceptedAt: z.string(),
  document: serviceDocumentSchema,
});
export type AcceptedDocument = z.infer<typeof acceptedDocumentSchema>;
