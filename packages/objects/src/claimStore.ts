/**
 * Claims as one platform object each: create-if-absent takes one, a conditional update finishes it.
 * docs/design/claims.md weighs this against `createGroupedClaimStore`.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { assertNever, delay, monotonicNowMs } from '@bluebellhitch/shared';
import {
  createAbandonedClaims,
  type AbandonedClaimsOptions,
  type ReleaseAttempt,
} from './abandonedClaims';
import type { Claim, ClaimError, ClaimOutcome, ClaimStore, TakeClaim } from './claimApi';
import {
  heldOutcome,
  isExpired,
  isSameToken,
  newClaimRecord,
  parseClaimRecord,
  takenOutcome,
  unavailable,
  unconfirmed,
  type ClaimRecord,
} from './claimRecord';
import {
  objectKinds,
  type PlatformApi,
  type PlatformError,
  type StoredObject,
} from './platformApi';

export interface ClaimStoreOptions {
  platform: PlatformApi;
  /** Id of the entry that takes claims; operators see it. */
  ownerId: string;
  /** Writes tried for one call before its outcome is given up as unknown. */
  tries?: number;
  /** No further try starts after this long. */
  budgetMs?: number;
  /** Pause between tries. */
  pauseMs?: number;
  abandoned?: AbandonedClaimsOptions;
}

const defaults = { tries: 3, budgetMs: 1500, pauseMs: 20 } as const;

/** What one write led to. */
type WriteStep =
  | { kind: 'stored'; object: StoredObject }
  /** Write again, in place of the expired claim where there is one. */
  | { kind: 'again'; error: PlatformError; expired?: StoredObject }
  | { kind: 'refused'; error: PlatformError };

export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { platform, ownerId, tries, budgetMs, pauseMs } = { ...defaults, ...options };
  const abandoned = createAbandonedClaims(options.abandoned);
  /** Last known stored form of the claims that this process holds. */
  const storedClaims = new WeakMap<Claim, StoredObject>();

  async function take(request: TakeClaim): Promise<Result<ClaimOutcome, ClaimError>> {
    const sentAtMs = monotonicNowMs();
    const record = newClaimRecord(ownerId, request);
    const written = await writeUntilKnown(request.key, record);
    if (written.isErr()) {
      if (written.error.kind === 'unavailable' && written.error.claimMayStay) {
        abandoned.add(() => releaseAbandoned(request.key, record));
      }
      return err(written.error);
    }
    return ok(readOutcome(written.value, request, sentAtMs));
  }

  /** The stored claim of the key: our own where it is taken, else another's. */
  async function writeUntilKnown(
    key: string,
    record: ClaimRecord,
  ): Promise<Result<StoredObject, ClaimError>> {
    const startedAtMs = monotonicNowMs();
    let mayStay = false;
    let step: WriteStep = await writeOnce(key, record);
    for (let tryCount = 1; ; tryCount += 1) {
      if (step.kind === 'stored') {
        return ok(step.object);
      }
      mayStay ||= step.error.kind === 'unknown-outcome';
      const isOver = tryCount >= tries || monotonicNowMs() - startedAtMs >= budgetMs;
      if (isOver || (step.kind === 'refused' && !mayStay)) {
        return err(unavailable(step.error, mayStay));
      }
      await delay(pauseMs * tryCount);
      step = await writeOnce(key, record, step.kind === 'again' ? step.expired : undefined);
    }
  }

  /**
   * After a lost answer the claim may be there: reading back decides. Where nothing is there yet,
   * writing again is safe, since a late first write then meets a record with our own token.
   */
  async function writeOnce(
    key: string,
    record: ClaimRecord,
    expired?: StoredObject,
  ): Promise<WriteStep> {
    const written =
      expired === undefined
        ? await platform.create(objectKinds.claim, key, record)
        : await platform.update(objectKinds.claim, key, expired.version, record);
    if (written.isOk()) {
      return { kind: 'stored', object: written.value };
    }
    const { error } = written;
    switch (error.kind) {
      case 'conflict':
        return stepFromCurrent(
          error,
          error.current === undefined ? await read(key) : ok(error.current),
        );
      case 'unknown-outcome':
      case 'not-found':
        return stepFromCurrent(error, await read(key));
      case 'unavailable':
      case 'rate-limited':
      case 'rejected':
        return { kind: 'refused', error };
      default:
        return assertNever(error);
    }
  }

  function read(key: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return platform
      .get(objectKinds.claim, key)
      .map((object): StoredObject | undefined => object)
      .orElse((error) => (error.kind === 'not-found' ? ok(undefined) : err(error)));
  }

  function readOutcome(object: StoredObject, request: TakeClaim, sentAtMs: number): ClaimOutcome {
    const stored = parseClaimRecord(object.value);
    if (!isSameToken(stored, { ownerId, attemptId: request.attemptId })) {
      return heldOutcome(stored);
    }
    const outcome = takenOutcome(request, sentAtMs);
    storedClaims.set(outcome.claim, object);
    return outcome;
  }

  function finish(claim: Claim, state: 'ran' | 'unknown'): ResultAsync<void, ClaimError> {
    return changeOwn(claim, {
      write: (object) => {
        const value = { ...parseClaimRecord(object.value), state };
        return platform.update(objectKinds.claim, claim.key, object.version, value).map(() => {});
      },
      isDone: (record) => record.state === state,
      whenGone: err({ kind: 'not-found' }),
    });
  }

  function release(claim: Claim): ResultAsync<void, ClaimError> {
    return changeOwn(claim, {
      write: (object) => platform.remove(objectKinds.claim, claim.key, object.version),
      isDone: () => false,
      whenGone: ok(undefined),
    });
  }

  function changeOwn(claim: Claim, change: OwnChange): ResultAsync<void, ClaimError> {
    return new ResultAsync(changeUntilKnown(claim, change)).mapErr(unconfirmed);
  }

  /** Repeats the conditional write of an own claim, reading it back after each failure. */
  async function changeUntilKnown(
    claim: Claim,
    change: OwnChange,
  ): Promise<Result<void, PlatformError>> {
    let step = await changeOnce(change, storedClaims.get(claim));
    for (let tryCount = 1; tryCount < tries && step.kind === 'again'; tryCount += 1) {
      await delay(pauseMs * tryCount);
      step = await readAndChange(claim, change);
    }
    return step.kind === 'done' ? step.result : err(step.error);
  }

  async function changeOnce(change: OwnChange, object?: StoredObject): Promise<ChangeStep> {
    if (object === undefined) {
      return { kind: 'again', error: { kind: 'not-found' } };
    }
    const written = await change.write(object);
    return written.isOk()
      ? { kind: 'done', result: ok(undefined) }
      : { kind: 'again', error: written.error };
  }

  async function readAndChange(claim: Claim, change: OwnChange): Promise<ChangeStep> {
    const current = await read(claim.key);
    if (current.isErr()) {
      return { kind: 'again', error: current.error };
    }
    const record = parseClaimRecord(current.value?.value);
    if (record === undefined || !isSameToken(record, { ownerId, attemptId: claim.attemptId })) {
      return { kind: 'done', result: change.whenGone };
    }
    return change.isDone(record)
      ? { kind: 'done', result: ok(undefined) }
      : changeOnce(change, current.value);
  }

  async function releaseAbandoned(key: string, record: ClaimRecord): Promise<ReleaseAttempt> {
    const current = await read(key);
    if (current.isErr()) {
      return 'failed';
    }
    if (current.value === undefined) {
      return 'absent';
    }
    if (!isSameToken(parseClaimRecord(current.value.value), record)) {
      return 'released';
    }
    const removed = await platform.remove(objectKinds.claim, key, current.value.version);
    return removed.isOk() ? 'released' : 'failed';
  }

  return {
    take: (request) => new ResultAsync(take(request)),
    finish,
    release,
    settle: abandoned.settle,
  };
}

/** A conditional write of a claim that this process holds. */
interface OwnChange {
  write(object: StoredObject): ResultAsync<void, PlatformError>;
  isDone(record: ClaimRecord): boolean;
  /** Result where the claim is no longer there, or is another's. */
  whenGone: Result<void, PlatformError>;
}

type ChangeStep =
  { kind: 'done'; result: Result<void, PlatformError> } | { kind: 'again'; error: PlatformError };

function stepFromCurrent(
  error: PlatformError,
  current: Result<StoredObject | undefined, PlatformError>,
): WriteStep {
  if (current.isErr() || current.value === undefined) {
    return { kind: 'again', error };
  }
  return isExpired(parseClaimRecord(current.value.value))
    ? { kind: 'again', error, expired: current.value }
    : { kind: 'stored', object: current.value };
}
