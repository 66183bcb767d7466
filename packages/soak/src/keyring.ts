/**
 * API keys of the run's workspaces: which are in force, since when, and which were taken away. Keys are given and taken
 * away all through a run; callers use those that are in force everywhere, and now and then one that is not.
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

/** The key that a request shows. */
export interface ShownKey {
  key: string;
  /** Undefined for a key that was never given. */
  workspaceName?: string;
  givenAtMs: number;
  takenAtMs: number;
}

export interface Keyring {
  workspaces(): WireWorkspace[];
  choose(): ShownKey;
  /** One that is in force everywhere, of a workspace without a quota. */
  sound(): ShownKey;
  rotation(write: () => number): BackgroundLoop;
}

export interface KeyringOptions {
  random: Random;
  /** From a change's acknowledgement until every router that serves keys knows it. */
  revocationMs: number;
}

/** The workspace that asks for more than its quota; at three routers its slack is four seconds of the rate. */
export const limitedWorkspace = 'limited';
export const limitedQuota: WorkspaceQuota = {
  unit: quotaUnits.tokens,
  ratePerSecond: 1_500,
  burst: 2_500,
  plainTokens: 100,
};
const openWorkspaces = ['bonds', 'letters-desk'];
const names = [...openWorkspaces, limitedWorkspace];
const limitedShare = 0.1;
const unknownShare = 0.03;
const takenShare = 0.05;
const rotationMs = 1_500;

export function createKeyring({ random, revocationMs }: KeyringOptions): Keyring {
  let number = 0;
  const keys: ShownKey[] = names.map((name) => newKey(name, -Infinity));

  function newKey(workspaceName: string, givenAtMs: number): ShownKey {
    number += 1;
    return { key: `key-${workspaceName}-${number}`, workspaceName, givenAtMs, takenAtMs: Infinity };
  }

  const drawn = <Item>(items: readonly Item[]) => items[Math.floor(random() * items.length)];
  const held = () => keys.filter(({ takenAtMs }) => takenAtMs === Infinity);
  const isSettled = ({ givenAtMs }: ShownKey) => givenAtMs + revocationMs < monotonicNowMs();
  const settledOf = (name: string) =>
    held().filter((one) => one.workspaceName === name && isSettled(one));

  function newestOf(name: string): ShownKey {
    return settledOf(name).at(-1) as ShownKey;
  }

  function unknownKey(): ShownKey {
    return {
      key: `nobody-${Math.floor(random() * 1e9)}`,
      givenAtMs: Infinity,
      takenAtMs: Infinity,
    };
  }

  /** Where a workspace has a newer one in force everywhere, its oldest goes. */
  function takeOne(): ShownKey | undefined {
    const oldest = names.flatMap((name) => {
      const settled = settledOf(name);
      return settled.length > 1 ? settled.slice(0, 1) : [];
    });
    return drawn(oldest);
  }

  return {
    workspaces: () =>
      names.map((name) => ({
        name,
        apiKeys: held()
          .filter(({ workspaceName }) => workspaceName === name)
          .map(({ key }) => key),
        quota: name === limitedWorkspace ? limitedQuota : undefined,
      })),
    choose() {
      const draw = random();
      const taken = drawn(keys.filter(({ takenAtMs }) => takenAtMs < Infinity));
      if (draw < unknownShare) {
        return unknownKey();
      }
      if (draw < unknownShare + takenShare && taken !== undefined) {
        return taken;
      }
      const isLimited = random() < limitedShare;
      return newestOf(isLimited ? limitedWorkspace : (drawn(openWorkspaces) as string));
    },
    sound: () => newestOf(drawn(openWorkspaces) as string),
    rotation: (write) =>
      createBackgroundLoop(async (signal) => {
        while (!signal.aborted) {
          await delay(rotationMs, signal);
          const given = newKey(drawn(names) as string, Infinity);
          const taken = takeOne();
          if (taken !== undefined) {
            taken.takenAtMs = monotonicNowMs();
          }
          keys.push(given);
          const acknowledgedAtMs = write();
          given.givenAtMs = acknowledgedAtMs;
          if (taken !== undefined) {
            taken.takenAtMs = acknowledgedAtMs;
          }
        }
      }),
  };
}
