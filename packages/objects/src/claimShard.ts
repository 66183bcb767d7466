/**
 * Writer of one shard: collects the operations that arrive within a few milliseconds and commits
 * them by one conditional write a window. Any process may write any shard at any time; the condition
 * alone keeps claims unique, and one writer a shard only saves conflicts.
 */
import { err, ok, type Result } from 'neverthrow';
import { invariant } from '@bluebellhitch/shared';
import type { GroupOperation, OperationOutcome } from './claimGroup';
import type { ClaimGroupObjects, CommitFailure } from './claimGroupObject';
import { isExpired } from './claimRecord';
import type { ClaimWindows } from './claimWindows';

export interface ClaimShardOptions {
  objects: ClaimGroupObjects;
  windows: ClaimWindows;
  /** How long the first operation of a batch waits for others. */
  batchWaitMs: number;
  /** Operations of one write; more wait for the next one. */
  batchLimit: number;
}

/** What became of an operation, and in which window. */
export interface SettledOperation {
  window: number;
  outcome: OperationOutcome;
}

/** `window` is where the operation may have taken effect. */
export type OperationFailure = CommitFailure & { window?: number };

type OperationResult = Result<SettledOperation, OperationFailure>;

interface PendingOperation {
  operation: GroupOperation;
  /** Absent for a new claim, which goes into the active window. */
  window?: number;
  settle(result: OperationResult): void;
}

export type ClaimShard = ReturnType<typeof createClaimShard>;

/** Times that a claim follows to a later window before it is given up. */
const windowTries = 4;

export function createClaimShard(options: ClaimShardOptions) {
  const { objects, windows, batchWaitMs, batchLimit } = options;
  let pending: PendingOperation[] = [];
  let isBusy = false;

  /** `window` names the group of an existing claim; without it the operation takes a new one. */
  function submit(operation: GroupOperation, window?: number): Promise<OperationResult> {
    return new Promise((settle) => {
      pending.push({ operation, window, settle });
      if (!isBusy) {
        isBusy = true;
        setTimeout(flushAll, batchWaitMs);
      }
    });
  }

  async function flushAll(): Promise<void> {
    while (pending.length > 0) {
      const batch = pending.slice(0, batchLimit);
      pending = pending.slice(batchLimit);
      await flush(batch);
    }
    isBusy = false;
  }

  async function flush(batch: readonly PendingOperation[]): Promise<void> {
    const placed = await placeNew(batch.filter((entry) => entry.window === undefined));
    const ofWindow = new Map<number, PendingOperation[]>();
    [...placed, ...batch].forEach((entry) => {
      if (entry.window !== undefined) {
        ofWindow.set(entry.window, [...(ofWindow.get(entry.window) ?? []), entry]);
      }
    });
    await Promise.all([...ofWindow].map(([window, entries]) => commit(window, entries)));
  }

  /** Places new claims in the active window, unless an earlier one holds their key. */
  async function placeNew(entries: readonly PendingOperation[]): Promise<PendingOperation[]> {
    if (entries.length === 0) {
      return [];
    }
    const active = await windows.prepare();
    if (active.isErr()) {
      entries.forEach((entry) => entry.settle(err({ error: active.error, mayStay: false })));
      return [];
    }
    const free = await Promise.all(
      entries.map(async (entry) =>
        (await isFree(entry)) ? [{ ...entry, window: active.value }] : [],
      ),
    );
    return free.flat();
  }

  /** Settles an operation whose key an earlier window holds. */
  async function isFree(entry: PendingOperation): Promise<boolean> {
    const earlier = windows.windowsWith(entry.operation.key);
    const answers = await Promise.all(earlier.map((window) => heldIn(window, entry.operation)));
    const settled = answers.find((answer) => answer !== undefined);
    if (settled === undefined) {
      return true;
    }
    entry.settle(settled);
    return false;
  }

  async function heldIn(
    window: number,
    operation: GroupOperation,
  ): Promise<OperationResult | undefined> {
    const current = await objects.read(window);
    if (current.isErr()) {
      return err({ error: current.error, mayStay: false });
    }
    const record = current.value.group.claims[operation.key];
    return record === undefined || isExpired(record)
      ? undefined
      : ok({ window, outcome: { kind: 'held', record } });
  }

  async function commit(window: number, entries: readonly PendingOperation[]): Promise<void> {
    const answer = await objects.commit(
      window,
      entries.map((entry) => entry.operation),
    );
    answer.match(
      (outcomes) => {
        entries.forEach((entry, index) => {
          const outcome = outcomes[index];
          invariant(outcome !== undefined, 'each operation of a batch has an outcome');
          entry.settle(ok({ window, outcome }));
        });
      },
      (failure) => entries.forEach((entry) => entry.settle(err({ ...failure, window }))),
    );
  }

  /** Takes a new claim, following to the next window where another writer sealed the active one. */
  async function take(operation: GroupOperation & { kind: 'take' }): Promise<OperationResult> {
    let result = await submit(operation);
    for (let tryCount = 1; tryCount < windowTries && isSealed(result); tryCount += 1) {
      result.map(({ window }) => windows.skipSealed(window));
      result = await submit(operation);
    }
    return result;
  }

  return { take, submit };
}

function isSealed(result: OperationResult): boolean {
  return result.isOk() && result.value.outcome.kind === 'sealed';
}
