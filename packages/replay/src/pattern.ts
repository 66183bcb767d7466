/** A pattern of load and faults that is replayed, as a small checked YAML document. */
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
import * as z from 'zod';
import type { Finding } from '@bluebellhitch/shared';

const positive = z.number().positive();
const share = z.number().min(0).max(1);
const count = z.number().int().positive();

/** Log-normal, cut at `most`; `spread` is the standard deviation of its logarithm. */
const sizeSchema = z.strictObject({ median: positive, spread: z.number().min(0), most: positive });

const engineSchema = z.strictObject({
  decode: count,
  prefill: z.number().int().min(0),
  memoryTokens: count,
  slots: count,
  stepMs: positive,
  stepPerStreamMs: z.number().min(0),
  /** Of a prefill engine; a decode engine reads at half the speed, in pieces of a quarter. */
  readTokensPerMs: positive,
  pieceTokens: count,
  tokensPerEvent: count,
  reportLagMs: z.number().min(0),
  /** How many times as long each step and prompt takes, of the engines by turns. */
  slowness: z.array(positive).min(1).default([1]),
});

const kindSchema = z.strictObject({
  name: z.string().min(1),
  ratePerSecond: positive,
  promptTokens: sizeSchema,
  outputTokens: sizeSchema,
  /** Standard deviation of the logarithm of a hint's error; without it callers give no hints. */
  hintSpread: z.number().min(0).optional(),
  targetMs: positive,
  gapMs: positive,
  timeoutMs: positive,
  priority: z.number().int().min(0).default(1),
  allowsResume: z.boolean().default(false),
  /** Times that a refused caller comes back. */
  retries: z.number().int().min(0).default(1),
});

const moment = { atS: z.number().min(0) };
const span = { ...moment, forS: positive };
const stepSchema = z.discriminatedUnion('kind', [
  /** So many times the rate of one kind of requests, or of all. */
  z.strictObject({ kind: z.literal('rate'), ...span, factor: positive, of: z.string().optional() }),
  /** A share of the decode engines crash and come back empty. */
  z.strictObject({ kind: z.literal('engines-lost'), ...span, share }),
  /** All routers lose what they know and what they serve. */
  z.strictObject({ kind: z.literal('routers-restart'), ...moment }),
  /** A share of the callers leave after this long. */
  z.strictObject({ kind: z.literal('callers-leave'), ...span, share, afterMs: positive }),
  /** A share of the callers come back at once, whatever they are told, this often. */
  z.strictObject({ kind: z.literal('callers-repeat'), ...span, share, times: count }),
]);

const patternSchema = z.strictObject({
  about: z.string().min(1),
  seconds: positive,
  routers: count,
  /** On the way of a datagram between routers. */
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
