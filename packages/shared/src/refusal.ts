/**
 * The central error vocabulary. Every layer returns one of these tagged unions through `neverthrow`;
 * nothing throws across a package boundary.
 */

/** Whether a refused request ran. `true`: proven that it did not; `'unknown'`: it may have. */
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

/** An honest refusal: what the caller is told instead of an answer. */
export interface Refusal {
  kind: 'refusal';
  reason: RefusalReason;
  notRun: NotRun;
  /** Human-readable sentence for the problem document. */
  detail: string;
  /** When asking again makes sense; becomes `Retry-After`. */
  retryAfterMs?: number;
}

export type RefusalOptions = Omit<Refusal, 'kind' | 'notRun'> & { notRun?: NotRun };

/** Builds a refusal; `notRun` defaults to `true`, because most refusals happen before dispatch. */
export function createRefusal(options: RefusalOptions): Refusal {
  return { kind: 'refusal', notRun: true, ...options };
}

/** Compile-time check that a switch over a discriminated union is exhaustive. */
export function assertNever(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}

/**
 * Invariant assertion. A violation means a defect of this program, never bad input, so it throws.
 */
export function invariant(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new Error(`invariant violated: ${message}`);
  }
}
