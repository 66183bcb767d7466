/**
 * What a writer knows of one shard's time windows. A claim may only be taken in a window once every
 * earlier window of the retention is known, so that a key is never claimed in two of them.
 */
import { err, ok, type Result } from 'neverthrow';
import type { ClaimGroupObjects } from './claimGroupObject';
import type { PlatformError } from './platformApi';

export interface ClaimWindowsOptions {
  objects: ClaimGroupObjects;
  windowMs: number;
  /** Windows before the active one that still hold claims in force. */
  retentionWindows: number;
  /**
   * Windows before the active one in which another writer might still take and dispatch a claim,
   * because its clock is behind or its write is under way. These are sealed; older ones only read.
   */
  openWindows: number;
}

interface KnownWindow {
  /** Keys ever claimed in the window; some may have been released since. */
  keys: ReadonlySet<string>;
  hasObject: boolean;
}

export type ClaimWindows = ReturnType<typeof createClaimWindows>;

/** Windows read at once when a writer starts. */
const readConcurrency = 8;

export function createClaimWindows(options: ClaimWindowsOptions) {
  const { objects, windowMs, retentionWindows, openWindows } = options;
  const known = new Map<number, KnownWindow>();
  let active = 0;

  /** Learns all earlier windows and answers the one to take claims in. */
  async function prepare(): Promise<Result<number, PlatformError>> {
    const previous = active;
    // Never backwards, though the wall clock may step back.
    active = Math.max(active, Math.floor(Date.now() / windowMs));
    const oldest = active - retentionWindows;
    const unknown = Array.from({ length: retentionWindows }, (_, index) => oldest + index).filter(
      (window) => !known.has(window),
    );
    for (let start = 0; start < unknown.length; start += readConcurrency) {
      const chunk = unknown.slice(start, start + readConcurrency);
      const failed = (await Promise.all(chunk.map(learn))).find((answer) => answer.isErr());
      if (failed?.isErr()) {
        return err(failed.error);
      }
    }
    if (previous !== active) {
      forget(oldest);
    }
    return ok(active);
  }

  async function learn(window: number): Promise<Result<void, PlatformError>> {
    const found =
      window >= active - openWindows
        ? (await objects.seal(window)).map((keys) => ({ keys: new Set(keys), hasObject: true }))
        : (await objects.read(window)).map(({ group, version }) => ({
            keys: new Set(Object.keys(group.claims)),
            hasObject: version !== undefined,
          }));
    return found.map((learned) => {
      known.set(window, learned);
    });
  }

  function forget(oldest: number): void {
    [...known]
      .filter(([window]) => window < oldest)
      .forEach(([window, { hasObject }]) => {
        known.delete(window);
        if (hasObject) {
          void objects.remove(window);
        }
      });
  }

  return {
    prepare,
    /** Another writer sealed the active window: its clock is ahead, and claims follow it. */
    skipSealed(window: number): void {
      active = Math.max(active, window + 1);
    },
    /** Earlier windows that have held the key; a claim may have been released since. */
    windowsWith: (key: string): number[] =>
      [...known].filter(([, { keys }]) => keys.has(key)).map(([window]) => window),
  };
}
