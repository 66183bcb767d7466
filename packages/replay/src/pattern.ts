/** The YAML format of a replay pattern: engines, kinds of requests, and steps of load and faults. */
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
import * as z from 'zod';
import type { Finding } from '@bluebellhitch/shared';

const positiveNumber = z.number().positive();
const share = z.number().min(0).max(1);
const positiveInteger = z.number().int().positive();

/** A log-normal distribution, capped at `most`; `spread` is the standard deviation of the logarithm. */
const sizeSchema = z.strictObject({
  median: positiveNumber,
  spread: z.number().min(0),
  most: positiveNumber,
});

const engineSchema = z.strictObject({
  decode: positiveInteger,
  prefill: z.number().int().min(0),
  memoryTokens: positiveInteger,
  slots: positiveInteger,
  stepMs: positiveNumber,
  stepPerStreamMs: z.number().min(0),
  /** Prefill speed of a prefill engine; a decode engine prefills at half the speed, in chunks a quarter as large. */
  readTokensPerMs: positiveNumber,
  pieceTokens: positiveInteger,
  tokensPerEvent: positiveInteger,
  reportLagMs: z.number().min(0),
  /** Factors on the time of each step and prefill, assigned to the engines in rotation. */
  slowness: z.array(positiveNumber).min(1).default([1]),
});

const kindSchema = z.strictObject({
  name: z.string().min(1),
  ratePerSecond: positiveNumber,
  promptTokens: sizeSchema,
  outputTokens: sizeSchema,
  /** Standard deviation of the logarithm of a hint's error; if absent, callers send no hints. */
  hintSpread: z.number().min(0).optional(),
  targetMs: positiveNumber,
  gapMs: positiveNumber,
  timeoutMs: positiveNumber,
  priority: z.number().int().min(0).default(1),
  allowsResume: z.boolean().default(false),
  /** How many times a refused caller retries. */
  retries: z.number().int().min(0).default(1),
});

const startTime = { atS: z.number().min(0) };
const period = { ...startTime, forS: positiveNumber };
const stepSchema = z.discriminatedUnion('kind', [
  /** Multiplies the request rate of one kind, or of all kinds. */
  z.strictObject({
    kind: z.literal('rate'),
    ...period,
    factor: positiveNumber,
    of: z.string().optional(),
  }),
  /** A share of the decode engines crash and restart with empty memory. */
  z.strictObject({ kind: z.literal('engines-lost'), ...period, share }),
  /** All routers restart and lose their state and the requests in progress. */
  z.strictObject({ kind: z.literal('routers-restart'), ...startTime }),
  /** A share of the callers disconnect after this time. */
  z.strictObject({ kind: z.literal('callers-leave'), ...period, share, afterMs: positiveNumber }),
  /** A share of the callers retry immediately up to `times` times, ignoring `Retry-After`. */
  z.strictObject({ kind: z.literal('callers-repeat'), ...period, share, times: positiveInteger }),
]);

const patternSchema = z.strictObject({
  about: z.string().min(1),
  seconds: positiveNumber,
  routers: positiveInteger,
  /** One-way delay of a datagram between routers. */
  peerDelayMs: z.number().min(0),
  engines: engineSchema,
  kinds: z.array(kindSchema).min(1),
  steps: z.array(stepSchema).default([]),
});

export type SizeDistribution = z.infer<typeof sizeSchema>;
export type EngineShape = z.infer<typeof engineSchema>;
export type RequestKind = z.infer<typeof kindSchema>;
export type LoadStep = z.infer<typeof stepSchema>;
export type LoadPattern = z.infer<typeof patternSchema>;

/** Parses and checks a pattern; errors carry the path of each invalid value. */
export function parsePattern(text: string): Result<LoadPattern, Finding[]> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    return err([{ path: '', message: `no YAML: ${String(error)}` }]);
  }
  const parsed = patternSchema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(parsed.error.issues.map(({ path, message }) => ({ path: path.join('.'), message })));
}
