/** Label values of metrics that the system itself defines. */

/** Outcomes of requests, for `bluebell_requests_total`. */
export const requestOutcomes = {
  completed: 'completed',
  refused: 'refused',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;
export type RequestOutcome = (typeof requestOutcomes)[keyof typeof requestOutcomes];

/** Phases of a request whose duration is measured. */
export const requestPhases = {
  firstToken: 'firstToken',
  betweenTokens: 'betweenTokens',
  queue: 'queue',
  prefill: 'prefill',
  transfer: 'transfer',
  decode: 'decode',
} as const;
export type RequestPhase = (typeof requestPhases)[keyof typeof requestPhases];

/** Reasons why the result of a finished prefill was never used for decoding. */
export const wastedPrefillCauses = {
  callerGone: 'caller-gone',
  expired: 'expired',
  transferFailed: 'transfer-failed',
  decodeFailed: 'decode-failed',
  noDecodeSlot: 'no-decode-slot',
  deadlineExceeded: 'deadline-exceeded',
  engineDied: 'engine-died',
} as const;
export type WastedPrefillCause = (typeof wastedPrefillCauses)[keyof typeof wastedPrefillCauses];

/** States of the leases that an agent has granted. */
export const leaseStates = {
  queued: 'queued',
  reserved: 'reserved',
  prefilling: 'prefilling',
  exported: 'exported',
  importing: 'importing',
  decoding: 'decoding',
  plain: 'plain',
} as const;
export type LeaseState = (typeof leaseStates)[keyof typeof leaseStates];

/** Outcomes of at-most-once claims. */
export const claimOutcomes = {
  taken: 'taken',
  duplicate: 'duplicate',
  unavailable: 'unavailable',
  released: 'released',
  kept: 'kept',
} as const;
export type ClaimOutcome = (typeof claimOutcomes)[keyof typeof claimOutcomes];

/** Reasons for retrying a request. */
export const retryCauses = {
  notRun: 'not-run',
  backendFailed: 'backend-failed',
  incompleteAnswer: 'incomplete-answer',
  budgetExhausted: 'budget-exhausted',
} as const;
export type RetryCause = (typeof retryCauses)[keyof typeof retryCauses];

/** Reasons for discarding a frame of a response. */
export const droppedFrameCauses = {
  otherAttempt: 'other-attempt',
  wrongOffset: 'wrong-offset',
  afterEnd: 'after-end',
  malformed: 'malformed',
} as const;
export type DroppedFrameCause = (typeof droppedFrameCauses)[keyof typeof droppedFrameCauses];

export const byteDirections = { sent: 'sent', received: 'received' } as const;
export type ByteDirection = (typeof byteDirections)[keyof typeof byteDirections];
