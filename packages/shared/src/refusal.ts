/**
 * Error types shared by all packages. Every layer returns these tagged unions through `neverthrow`; nothing
 * throws across a package boundary.
 */

/** Whether a refused request certainly did not run: `true` if that is proven, `'unknown'` if it may have run. */
export type NotRun = true | false | 'unknown';

/** Reasons for refusing a request. The value appears in metrics, problem documents and decision records. */
export const refusalReasons = {
  badRequest: 'bad-request',
  unknownService: 'unknown-service',
  bodyTooLarge: 'body-too-large',
  missingIdempotencyKey: 'missing-idempotency-key',
  unauthenticated: 'unauthenticated',
  rateLimited: 'rate-limited',
  queueFull: 'queue-full',
  noCapacity: 'no-capacity',
  deadlineHopeless: 'deadline-hopeless',
  deadlineExceeded: 'deadline-exceeded',
  noInstances: 'no-instances',
  leaving: 'leaving',
  quarantined: 'quarantined',
  duplicate: 'duplicate',
  claimUnavailable: 'claim-unavailable',
  backendFailed: 'backend-failed',
  incompleteAnswer: 'incomplete-answer',
  retriesExhausted: 'retries-exhausted',
  cancelled: 'cancelled',
  internal: 'internal',
} as const;

export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** A refusal, sent to the caller in place of a response. */
export interface Refusal {
  kind: 'refusal';
  reason: RefusalReason;
  notRun: NotRun;
  /** Human-readable sentence for the problem document. */
  detail: string;
  /** Time after which a retry is useful; sent as `Retry-After`. */
  retryAfterMs?: number;
}

export type RefusalOptions = Omit<Refusal, 'kind' | 'notRun'> & { notRun?: NotRun };

/** Creates a refusal. `notRun` defaults to `true`, because most requests are refused before dispatch. */
export function createRefusal(options: RefusalOptions): Refusal {
  return { kind: 'refusal', notRun: true, ...options };
}

/** Checks at compile time that a switch over a discriminated union is exhaustive. */
export function assertNever(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}

/** Asserts an invariant. Throws, because a violation is a defect of this program, never invalid input. */
export function invariant(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new Error(`invariant violated: ${message}`);
  }
}
