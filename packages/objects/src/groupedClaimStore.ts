/**
 * Claims committed in groups: sharded by key into one platform object a time window, so that many
 * claims cost one write. docs/design/claims.md gives the reasoning on windows and clocks.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { assertNever, hash64, invariant, monotonicNowMs, type Random } from '@bluebellhitch/shared';
import {
  createAbandonedClaims,
  type AbandonedClaimsOptions,
  type ReleaseAttempt,
} from './abandonedClaims';
import type { Claim, ClaimError, ClaimOutcome, ClaimStore, TakeClaim } from './claimApi';
import { createClaimGroupObjects } from './claimGroupObject';
import { heldOutcome, newClaimRecord, takenOutcome, unavailable, unconfirmed } from './claimRecord';
import type { GroupOperation } from './claimGroup';
import { createClaimShard, type ClaimShard, type SettledOperation } from './claimShard';
import { createClaimWindows } from './claimWindows';
import type { PlatformApi } from './platformApi';

export interface GroupedClaimStoreOptions {
  platform: PlatformApi;
  ownerId: string;
  /** All processes must use the same numbers of shards and the same windows. */
  shards?: number;
  windowMs?: number;
  /** Longest `expiresInMs` that can be promised; a writer reads this much history first. */
  retentionMs?: number;
  /** Difference of wall clocks between instances that is tolerated. */
  clockSkewMs?: number;
  /** A claim taken longer ago is not dispatched. */
  dispatchWithinMs?: number;
  batchWaitMs?: number;
  batchLimit?: number;
  tries?: number;
  /** No further try of one write starts after this long. */
  budgetMs?: number;
  pauseMs?: number;
  random?: Random;
  abandoned?: AbandonedClaimsOptions;
}

const defaults = {
  shards: 4,
  windowMs: 10_000,
  retentionMs: 600_000,
  clockSkewMs: 5000,
  dispatchWithinMs: 5000,
  batchWaitMs: 3,
  batchLimit: 256,
  tries: 6,
  budgetMs: 1500,
  pauseMs: 20,
  random: Math.random,
} as const;

export function createGroupedClaimStore(options: GroupedClaimStoreOptions): ClaimStore {
  const settings = { ...defaults, ...options };
  const { ownerId, retentionMs, dispatchWithinMs } = settings;
  const shards = Array.from({ length: settings.shards }, (_, index) => createShard(index));
  const abandoned = createAbandonedClaims(options.abandoned);
  const windowOfClaim = new WeakMap<Claim, number>();

  function createShard(shard: number): ClaimShard {
    const { windowMs, clockSkewMs, batchWaitMs, batchLimit } = settings;
    const objects = createClaimGroupObjects({ ...settings, shard });
    const openWindows = Math.ceil((dispatchWithinMs + clockSkewMs) / windowMs) + 1;
    const retentionWindows = Math.ceil(retentionMs / windowMs) + openWindows;
    const windows = createClaimWindows({ objects, windowMs, retentionWindows, openWindows });
    return createClaimShard({ objects, windows, batchWaitMs, batchLimit });
  }

  function shardOf(key: string): ClaimShard {
    const shard = shards[Number(hash64(key) % BigInt(shards.length))];
    invariant(shard !== undefined, 'there is at least one claim shard');
    return shard;
  }

  async function take(request: TakeClaim): Promise<Result<ClaimOutcome, ClaimError>> {
    if (request.expiresInMs > retentionMs) {
      const detail = `claims are kept for ${retentionMs} ms, not for ${request.expiresInMs} ms`;
      return err({ kind: 'unavailable', detail, claimMayStay: false });
    }
    const sentAtMs = monotonicNowMs();
    const record = newClaimRecord(ownerId, request);
    const shard = shardOf(request.key);
    const result = await shard.take({ kind: 'take', key: request.key, record });
    if (result.isErr()) {
      const { error, mayStay, window } = result.error;
      if (mayStay && window !== undefined) {
        abandoned.add(() => releaseAbandoned(request, window));
      }
      return err(unavailable(error, mayStay));
    }
    return readOutcome(request, sentAtMs, result.value);
  }

  function readOutcome(
    request: TakeClaim,
    sentAtMs: number,
    { outcome, window }: SettledOperation,
  ): Result<ClaimOutcome, ClaimError> {
    switch (outcome.kind) {
      case 'done': {
        const taken = takenOutcome(request, sentAtMs, dispatchWithinMs);
        windowOfClaim.set(taken.claim, window);
        return ok(taken);
      }
      case 'held':
        return ok(heldOutcome(outcome.record));
      case 'gone':
      case 'sealed':
        return err(unavailable({ kind: 'conflict' }, false));
      default:
        return assertNever(outcome);
    }
  }

  async function finish(claim: Claim, state: 'ran' | 'unknown'): Promise<Result<void, ClaimError>> {
    const token = { ownerId, attemptId: claim.attemptId };
    const settled = await change(claim, { kind: 'finish', key: claim.key, token, state });
    return settled.andThen(({ outcome }) =>
      outcome.kind === 'done' ? ok(undefined) : err(unconfirmed({ kind: 'not-found' })),
    );
  }

  async function release(claim: Claim): Promise<Result<void, ClaimError>> {
    const token = { ownerId, attemptId: claim.attemptId };
    const settled = await change(claim, { kind: 'release', key: claim.key, token });
    return settled.map(() => undefined);
  }

  async function change(
    claim: Claim,
    operation: GroupOperation,
  ): Promise<Result<SettledOperation, ClaimError>> {
    const window = windowOfClaim.get(claim);
    invariant(window !== undefined, 'a claim is changed by the store that took it');
    const settled = await shardOf(claim.key).submit(operation, window);
    return settled.mapErr(({ error }) => unconfirmed(error));
  }

  async function releaseAbandoned(request: TakeClaim, window: number): Promise<ReleaseAttempt> {
    const { key, attemptId } = request;
    const operation = { kind: 'release' as const, key, token: { ownerId, attemptId } };
    const settled = await shardOf(key).submit(operation, window);
    if (settled.isErr()) {
      return 'failed';
    }
    return settled.value.outcome.kind === 'gone' ? 'absent' : 'released';
  }

  return {
    take: (request) => new ResultAsync(take(request)),
    finish: (claim, state) => new ResultAsync(finish(claim, state)),
    release: (claim) => new ResultAsync(release(claim)),
    settle: abandoned.settle,
  };
}
