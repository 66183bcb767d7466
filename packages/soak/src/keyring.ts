/**
 * API keys of the run's workspaces: which are valid, since when, and which were revoked. Keys are issued and revoked
 * throughout a run; callers mostly use keys that are valid at all routers, and sometimes one that is not.
 */
import type { WireWorkspace } from '@bluebellhitch/platform-standins';
import { quotaUnits, type WorkspaceQuota } from '@bluebellhitch/routing';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
  type Random,
} from '@bluebellhitch/shared';

/** The key that a request presents. */
export interface PresentedKey {
  key: string;
  /** Undefined for a key that was never issued. */
  workspaceName?: string;
  /** When the key was issued; Infinity until the store has acknowledged it. */
  givenAtMs: number;
  /** When the key was revoked; Infinity while it is valid. */
  takenAtMs: number;
}

export interface Keyring {
  workspaces(): WireWorkspace[];
  /** A key for a caller's request: usually a valid one, sometimes a revoked or unknown one. */
  choose(): PresentedKey;
  /** A key that is valid at all routers, of this workspace or else of any without a quota. */
  chooseValid(workspaceName?: string): PresentedKey;
  rotation(write: () => number): BackgroundLoop;
}

export interface KeyringOptions {
  random: Random;
  /** Time from the acknowledgement of a change until every router that accepts keys applies it. */
  revocationMs: number;
}

/** The workspace whose demand exceeds its quota; with three routers its slack is four seconds of the rate. */
export const limitedWorkspace = 'limited';
export const limitedQuota: WorkspaceQuota = {
  unit: quotaUnits.tokens,
  ratePerSecond: 1_500,
  burst: 2_500,
  plainTokens: 100,
};
/** The workspace of a caller who always is the same one. */
export const repeatingWorkspace = 'bonds';
const unlimitedWorkspaces = [repeatingWorkspace, 'letters-desk'];
const workspaceNames = [...unlimitedWorkspaces, limitedWorkspace];
const limitedShare = 0.1;
const unknownShare = 0.03;
const revokedShare = 0.05;
const rotationMs = 1_500;

export function createKeyring({ random, revocationMs }: KeyringOptions): Keyring {
  let keyCount = 0;
  const keys: PresentedKey[] = workspaceNames.map((name) => newKey(name, -Infinity));

  function newKey(workspaceName: string, givenAtMs: number): PresentedKey {
    keyCount += 1;
    return {
      key: `key-${workspaceName}-${keyCount}`,
      workspaceName,
      givenAtMs,
      takenAtMs: Infinity,
    };
  }

  const pickRandom = <Item>(items: readonly Item[]) => items[Math.floor(random() * items.length)];
  const activeKeys = () => keys.filter(({ takenAtMs }) => takenAtMs === Infinity);
  const isSettled = ({ givenAtMs }: PresentedKey) => givenAtMs + revocationMs < monotonicNowMs();
  const settledOf = (name: string) =>
    activeKeys().filter((one) => one.workspaceName === name && isSettled(one));

  function newestOf(name: string): PresentedKey {
    return settledOf(name).at(-1) as PresentedKey;
  }

  function unknownKey(): PresentedKey {
    return {
      key: `nobody-${Math.floor(random() * 1e9)}`,
      givenAtMs: Infinity,
      takenAtMs: Infinity,
    };
  }

  /** The oldest key of a workspace that has a newer one valid at all routers. */
  function pickRevocable(): PresentedKey | undefined {
    const oldest = workspaceNames.flatMap((name) => {
      const settled = settledOf(name);
      return settled.length > 1 ? settled.slice(0, 1) : [];
    });
    return pickRandom(oldest);
  }

  return {
    workspaces: () =>
      workspaceNames.map((name) => ({
        name,
        apiKeys: activeKeys()
          .filter(({ workspaceName }) => workspaceName === name)
          .map(({ key }) => key),
        quota: name === limitedWorkspace ? limitedQuota : undefined,
      })),
    choose() {
      const draw = random();
      const revoked = pickRandom(keys.filter(({ takenAtMs }) => takenAtMs < Infinity));
      if (draw < unknownShare) {
        return unknownKey();
      }
      if (draw < unknownShare + revokedShare && revoked !== undefined) {
        return revoked;
      }
      const isLimited = random() < limitedShare;
      return newestOf(isLimited ? limitedWorkspace : (pickRandom(unlimitedWorkspaces) as string));
    },
    chooseValid: (workspaceName) =>
      newestOf(workspaceName ?? (pickRandom(unlimitedWorkspaces) as string)),
    rotation: (write) =>
      createBackgroundLoop(async (signal) => {
        while (!signal.aborted) {
          await delay(rotationMs, signal);
          const issued = newKey(pickRandom(workspaceNames) as string, Infinity);
          const revoked = pickRevocable();
          if (revoked !== undefined) {
            revoked.takenAtMs = monotonicNowMs();
          }
          keys.push(issued);
          const acknowledgedAtMs = write();
          issued.givenAtMs = acknowledgedAtMs;
          if (revoked !== undefined) {
            revoked.takenAtMs = acknowledgedAtMs;
          }
        }
      }),
  };
}
