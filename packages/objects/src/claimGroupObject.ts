/** Reads and conditional writes of one shard's claim groups, with the last known version of each. */
import { err, ok, type Result } from 'neverthrow';
import { delay, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import {
  applyOperations,
  claimGroupSchema,
  emptyGroup,
  type ClaimGroup,
  type GroupOperation,
  type OperationOutcome,
} from './claimGroup';
import {
  objectKinds,
  type PlatformApi,
  type PlatformError,
  type StoredObject,
} from './platformApi';

export interface ClaimGroupObjectsOptions {
  platform: PlatformApi;
  shard: number;
  /** Failed calls of one commit, conflicts apart, before it is given up. */
  tries: number;
  /** No further try of a commit starts after this long. */
  budgetMs: number;
  pauseMs: number;
  random: Random;
}

/** A failed commit; with `mayStay` an earlier write of it may still take effect. */
export interface CommitFailure {
  error: PlatformError;
  mayStay: boolean;
}

interface KnownGroup {
  /** Absent where there is no object yet. */
  version?: number;
  group: ClaimGroup;
}

export type ClaimGroupObjects = ReturnType<typeof createClaimGroupObjects>;

/** Groups of which the content is kept; writes to older ones read them first. */
const knownLimit = 3;

export function createClaimGroupObjects(options: ClaimGroupObjectsOptions) {
  const { platform, shard, tries, budgetMs, pauseMs, random } = options;
  const known = new Map<number, KnownGroup>();

  function objectKey(window: number): string {
    return `group/${shard}/${window}`;
  }

  async function read(window: number): Promise<Result<KnownGroup, PlatformError>> {
    const answer = await platform.get(objectKinds.claim, objectKey(window));
    if (answer.isErr() && answer.error.kind === 'not-found') {
      return ok({ group: emptyGroup });
    }
    return answer.andThen(parseGroup);
  }

  /** Applies a batch by conditional writes until its outcome is known, or the tries are used up. */
  async function commit(
    window: number,
    operations: readonly GroupOperation[],
  ): Promise<Result<OperationOutcome[], CommitFailure>> {
    let failure: CommitFailure = { error: { kind: 'not-found' }, mayStay: false };
    const startedAtMs = monotonicNowMs();
    let failures = 0;
    while (failures < tries && monotonicNowMs() - startedAtMs < budgetMs) {
      const answer = await commitOnce(window, operations);
      if (answer.isOk()) {
        return ok(answer.value);
      }
      const { error } = answer;
      failure = { error, mayStay: failure.mayStay || error.kind === 'unknown-outcome' };
      if (isRefused(error) && !failure.mayStay) {
        break;
      }
      // Losing a race is no fault of the platform: it is tried again until the time is up, after a
      // pause of random length, so that several writers of one shard do not stay in step.
      failures += error.kind === 'conflict' ? 0 : 1;
      await delay(error.kind === 'conflict' ? random() * pauseMs : failures * pauseMs);
    }
    return err(failure);
  }

  async function commitOnce(
    window: number,
    operations: readonly GroupOperation[],
  ): Promise<Result<OperationOutcome[], PlatformError>> {
    const current = await readKnown(window);
    if (current.isErr()) {
      return err(current.error);
    }
    const applied = applyOperations(current.value.group, operations);
    if (!applied.isChanged) {
      return ok(applied.outcomes);
    }
    const written = await write(window, current.value, applied.group);
    return written.map(() => applied.outcomes);
  }

  async function readKnown(window: number): Promise<Result<KnownGroup, PlatformError>> {
    const remembered = known.get(window);
    return remembered === undefined ? read(window) : ok(remembered);
  }

  async function write(
    window: number,
    current: KnownGroup,
    group: ClaimGroup,
  ): Promise<Result<void, PlatformError>> {
    const key = objectKey(window);
    const answer =
      current.version === undefined
        ? await platform.create(objectKinds.claim, key, group)
        : await platform.update(objectKinds.claim, key, current.version, group);
    known.delete(window);
    if (answer.isOk()) {
      remember(window, { version: answer.value.version, group });
      return ok(undefined);
    }
    const { error } = answer;
    if (error.kind === 'conflict' && error.current !== undefined) {
      parseGroup(error.current).map((found) => remember(window, found));
    }
    return err(error);
  }

  function remember(window: number, group: KnownGroup): void {
    known.set(window, group);
    const surplus = [...known.keys()].sort((left, right) => left - right).slice(0, -knownLimit);
    surplus.forEach((old) => known.delete(old));
  }

  /** Makes a group final for new claims and answers its keys. */
  async function seal(window: number): Promise<Result<string[], PlatformError>> {
    let lastError: PlatformError = { kind: 'not-found' };
    for (let tryCount = 1; tryCount <= tries; tryCount += 1) {
      const current = await read(window);
      if (current.isErr()) {
        return err(current.error);
      }
      if (current.value.group.sealed) {
        return ok(Object.keys(current.value.group.claims));
      }
      const written = await write(window, current.value, { ...current.value.group, sealed: true });
      if (written.isOk()) {
        return ok(Object.keys(current.value.group.claims));
      }
      lastError = written.error;
    }
    return err(lastError);
  }

  /** Removes an expired group, as far as the platform answers; another writer may do so as well. */
  async function remove(window: number): Promise<void> {
    const current = await read(window);
    if (current.isOk() && current.value.version !== undefined) {
      await platform.remove(objectKinds.claim, objectKey(window), current.value.version);
    }
  }

  return { read, commit, seal, remove };
}

function parseGroup(object: StoredObject): Result<KnownGroup, PlatformError> {
  const parsed = claimGroupSchema.safeParse(object.value);
  return parsed.success
    ? ok({ version: object.version, group: parsed.data })
    : err({ kind: 'rejected', detail: `unreadable claim group ${object.key}` });
}

function isRefused(error: PlatformError): boolean {
  return error.kind === 'unavailable' || error.kind === 'rate-limited' || error.kind === 'rejected';
}
