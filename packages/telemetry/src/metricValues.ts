/** Values of the labels that the system itself chooses. */

/** How a request ended, for `bluebell_requests_total`. */
export const requestOutcomes = {
  completed: 'completed',
  refused: 'refused',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;
export type RequestOutcome = (typeof requestOutcomes)[keyof typeof requestOutcomes];

/** Measured parts of a request. */
export const requestPhases = {
  firstToken: 'firstToken',
  betweenTokens: 'betweenTokens',
  queue: 'queue',
  prefill: 'prefill',
  transfer: 'transfer',
  decode: 'decode',
} as const;
export type RequestPhase = (typeof requestPhases)[keyof typeof requestPhases];

/** Why a finished prefill was never decoded from. */
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

/** What became of an at-most-once claim. */
export const claimOutcomes = {
  taken: 'taken',
  duplicate: 'duplicate',
  unavailable: 'unavailable',
  released: 'released',
  kept: 'kept',
} as const;
export type ClaimOutcome = (typeof claimOutcomes)[keyof typeof claimOutcomes];

/** Why a request was tried again. */
export const retryCauses = {
  notRun: 'not-run',
  backendFailed: 'backend-failed',
  incompleteAnswer: 'incomplete-answer',
  budgetExhausted: 'budget-exhausted',
} as const;
export type RetryCause = (typeof retryCauses)[keyof typeof retryCauses];

/** Why a frame of an answer was thrown away. */
export const droppedFrameCauses = {
  otherAttempt: 'other-attempt',
  wrongOffset: 'wrong-offset',
  afterEnd: 'after-end',
  malformed: 'malformed',
} as const;
export type DroppedFrameCause = (typeof droppedFrameCauses)[keyof typeof droppedFrameCauses];

export const byteDirections = { sent: 'sent', received: 'received' } as const;
export type ByteDirection = (typeof byteDirections)[keyof typeof byteDirections];
