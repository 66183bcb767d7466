/**
 * Claim store that keeps one platform object per claim: create-if-absent takes a claim, a conditional
 * update finishes it. docs/design/claims.md compares this with several claims per object.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { assertNever, delay, monotonicNowMs } from '@bluebellhitch/shared';
import {
  createAbandonedClaims,
  type AbandonedClaimsOptions,
  type ReleaseAttempt,
} from './abandonedClaims';
import type { Claim, ClaimError, ClaimOutcome, ClaimStore, ClaimRequest } from './claimApi';
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
  /** Id of the entry that takes claims. Stored with each claim, where operators can see it. */
  ownerId: string;
  /** Maximum number of writes for one call; after that the call fails. */
  maxTries?: number;
  /** No retry starts once this time has passed since the first write. */
  budgetMs?: number;
  /** Delay before the first retry; it grows linearly with each further one. */
  retryDelayMs?: number;
  abandoned?: AbandonedClaimsOptions;
}

const defaults = { maxTries: 3, budgetMs: 1500, retryDelayMs: 20 } as const;

/** Outcome of one write. */
type WriteStep =
  | { kind: 'stored'; object: StoredObject }
  /** Write again; `expired` is the claim to replace, if there is one. */
  | { kind: 'again'; error: PlatformError; expired?: StoredObject }
  | { kind: 'refused'; error: PlatformError };

export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { platform, ownerId, maxTries, budgetMs, retryDelayMs } = { ...defaults, ...options };
  const abandoned = createAbandonedClaims(options.abandoned);
  /** Last known stored object of each claim that this process holds. */
  const storedClaims = new WeakMap<Claim, StoredObject>();

  async function take(request: ClaimRequest): Promise<Result<ClaimOutcome, ClaimError>> {
    const sentAtMs = monotonicNowMs();
    const record = newClaimRecord(ownerId, request);
    const written = await writeUntilConfirmed(request.key, record);
    if (written.isErr()) {
      if (written.error.kind === 'unavailable' && written.error.claimMayStay) {
        abandoned.add(() => releaseAbandoned(request.key, record));
      }
      return err(written.error);
    }
    return ok(readOutcome(written.value, request, sentAtMs));
  }

  /** Returns the stored claim of the key: our own if the write succeeded, otherwise another's. */
  async function writeUntilConfirmed(
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
      const isOver = tryCount >= maxTries || monotonicNowMs() - startedAtMs >= budgetMs;
      if (isOver || (step.kind === 'refused' && !mayStay)) {
        return err(unavailable(step.error, mayStay));
      }
      await delay(retryDelayMs * tryCount);
      step = await writeOnce(key, record, step.kind === 'again' ? step.expired : undefined);
    }
  }

  /**
   * After a lost response the claim may have been stored, so it is read back. If nothing is stored yet,
   * writing again is safe: should the first write take effect late, it finds a record with our own token.
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

  function readOutcome(
    object: StoredObject,
    request: ClaimRequest,
    sentAtMs: number,
  ): ClaimOutcome {
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
      resultIfAbsent: err({ kind: 'not-found' }),
    });
  }

  function release(claim: Claim): ResultAsync<void, ClaimError> {
    return changeOwn(claim, {
      write: (object) => platform.remove(objectKinds.claim, claim.key, object.version),
      isDone: () => false,
      resultIfAbsent: ok(undefined),
    });
  }

  function changeOwn(claim: Claim, change: OwnChange): ResultAsync<void, ClaimError> {
    return new ResultAsync(changeUntilConfirmed(claim, change)).mapErr(unconfirmed);
  }

  /** Repeats the conditional write of our own claim, reading the claim back after each failure. */
  async function changeUntilConfirmed(
    claim: Claim,
    change: OwnChange,
  ): Promise<Result<void, PlatformError>> {
    let step = await changeOnce(change, storedClaims.get(claim));
    for (let tryCount = 1; tryCount < maxTries && step.kind === 'again'; tryCount += 1) {
      await delay(retryDelayMs * tryCount);
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
      return { kind: 'done', result: change.resultIfAbsent };
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
  /** Result if the claim no longer exists or belongs to another attempt. */
  resultIfAbsent: Result<void, PlatformError>;
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
