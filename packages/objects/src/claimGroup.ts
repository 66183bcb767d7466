/** Claims of one shard and time window, kept in one platform object, and the changes to them. */
import * as z from 'zod';
import { assertNever } from '@bluebellhitch/shared';
import { claimRecordSchema, isExpired, isSameToken, type ClaimRecord } from './claimRecord';

export const claimGroupSchema = z.object({
  /** A sealed group takes no new claims, so its keys can be remembered for good. */
  sealed: z.boolean(),
  claims: z.record(z.string(), claimRecordSchema),
});
export type ClaimGroup = z.infer<typeof claimGroupSchema>;

export const emptyGroup: ClaimGroup = { sealed: false, claims: {} };

type Token = Pick<ClaimRecord, 'ownerId' | 'attemptId'>;

export type GroupOperation =
  | { kind: 'take'; key: string; record: ClaimRecord }
  | { kind: 'finish'; key: string; token: Token; state: 'ran' | 'unknown' }
  | { kind: 'release'; key: string; token: Token };

export type OperationOutcome =
  | { kind: 'done' }
  | { kind: 'held'; record: ClaimRecord }
  /** The claim to be changed is not there. */
  | { kind: 'gone' }
  /** Take the claim in a later window. */
  | { kind: 'sealed' };

export interface AppliedOperations {
  group: ClaimGroup;
  outcomes: OperationOutcome[];
  /** Whether there is anything to write. */
  isChanged: boolean;
}

/**
 * Applies a batch to a group. Idempotent: after a lost answer the same batch is applied to what is
 * stored by then, and whatever took effect the first time is found done.
 */
export function applyOperations(
  group: ClaimGroup,
  operations: readonly GroupOperation[],
): AppliedOperations {
  const claims = new Map(Object.entries(group.claims));
  let isChanged = false;
  const outcomes = operations.map((operation) => {
    const step = applyOne(group.sealed, claims.get(operation.key), operation);
    if (step.kind !== 'change') {
      return step;
    }
    isChanged = true;
    if (step.record === undefined) {
      claims.delete(operation.key);
    } else {
      claims.set(operation.key, step.record);
    }
    return { kind: 'done' as const };
  });
  return { group: { ...group, claims: Object.fromEntries(claims) }, outcomes, isChanged };
}

type Step = OperationOutcome | { kind: 'change'; record?: ClaimRecord };

function applyOne(
  isSealed: boolean,
  current: ClaimRecord | undefined,
  operation: GroupOperation,
): Step {
  switch (operation.kind) {
    case 'take':
      return takeStep(isSealed, current, operation.record);
    case 'finish':
      return finishStep(current, operation);
    case 'release':
      return isSameToken(current, operation.token) ? { kind: 'change' } : { kind: 'gone' };
    default:
      return assertNever(operation);
  }
}

function takeStep(isSealed: boolean, current: ClaimRecord | undefined, record: ClaimRecord): Step {
  if (isSameToken(current, record)) {
    return { kind: 'done' };
  }
  if (current !== undefined && !isExpired(current)) {
    return { kind: 'held', record: current };
  }
  return isSealed ? { kind: 'sealed' } : { kind: 'change', record };
}

function finishStep(
  current: ClaimRecord | undefined,
  operation: GroupOperation & { kind: 'finish' },
): Step {
  if (current === undefined || !isSameToken(current, operation.token)) {
    return { kind: 'gone' };
  }
  return current.state === operation.state
    ? { kind: 'done' }
    : { kind: 'change', record: { ...current, state: operation.state } };
}
