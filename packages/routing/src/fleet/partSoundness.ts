/**
 * Announces to the other routers that a server has written on a part of prompts without harm, if they count crashes
 * against it and do not know that: each router sees few runs, while crashes are known to all. One answer is enough for all routers,
 * so each waits for a random time and leaves it out if another one has answered.
 */
import { createBoundedMap } from '@bluebellhitch/decisions';
import type { Random } from '@bluebellhitch/shared';

export interface PartSoundness {
  /** A router has announced crashes of the part, and when a server last wrote on it without harm, if it knows that. */
  noteAnnounced(fingerprint: string, soundAtMs: number | undefined): void;
  close(): void;
}

export interface PartSoundnessOptions {
  /** When a server last wrote on the part without harm, as far as known here. */
  soundAtMs: (fingerprint: string) => number | undefined;
  announce: (fingerprint: string) => void;
  random: Random;
}

/** Routers answer within this time; a datagram takes a few milliseconds of it. */
const spreadMs = 400;
/** What is known to all is not announced again before it is this much older than what is known here. */
const minNewsMs = 30_000;
const maxParts = 1_024;

export function createPartSoundness(options: PartSoundnessOptions): PartSoundness {
  const { soundAtMs, announce, random } = options;
  /** The latest time that has been announced to all routers. */
  const announcedAtMs = createBoundedMap<string, number>({ maxEntries: maxParts });
  const timers = new Map<string, NodeJS.Timeout>();

  const announcedOf = (fingerprint: string) => announcedAtMs.get(fingerprint) ?? -Infinity;

  function hasNews(fingerprint: string): boolean {
    const ownAtMs = soundAtMs(fingerprint) ?? -Infinity;
    return ownAtMs > announcedOf(fingerprint) + minNewsMs;
  }

  function answer(fingerprint: string): void {
    timers.delete(fingerprint);
    if (hasNews(fingerprint)) {
      announcedAtMs.set(fingerprint, soundAtMs(fingerprint) ?? -Infinity);
      announce(fingerprint);
    }
  }

  return {
    noteAnnounced(fingerprint, atMs = -Infinity) {
      announcedAtMs.set(fingerprint, Math.max(atMs, announcedOf(fingerprint)));
      if (hasNews(fingerprint) && !timers.has(fingerprint)) {
        const timer = setTimeout(() => answer(fingerprint), random() * spreadMs);
        timer.unref();
        timers.set(fingerprint, timer);
      }
    },
    close: () => timers.forEach((timer) => clearTimeout(timer)),
  };
}
