/**
 * Records which routers, servers or store were disturbed, and when. Promises with a time limit hold only for routers
 * that had contact: router and store were undisturbed for at least the contact time before.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

/** What a disruption affects: one router, one server, or the store for all routers. */
export type DisruptionSubject =
  { kind: 'router'; name: string } | { kind: 'server'; id: string } | { kind: 'store' };

export interface Disruption {
  subject: DisruptionSubject;
  cause: string;
  /** Planned work alone must not interrupt any request. */
  isPlanned: boolean;
  fromMs: number;
  /** Infinity until it ends. */
  toMs: number;
}

export interface Disruptions {
  /** Returns a function to call when the disruption ends. */
  begin(subject: DisruptionSubject, cause: string, options?: { isPlanned?: boolean }): () => void;
  /** Whether the router and the store were undisturbed from the contact time before `fromMs` until `toMs`. */
  hadContact(routerName: string, fromMs: number, toMs: number): boolean;
  /** Whether the server, or a link to it, was disturbed from the contact time before `fromMs` until `toMs`. */
  isServerDisturbed(serverId: string, fromMs: number, toMs: number): boolean;
  /** Whether there was nothing but planned work from the contact time before `fromMs` until `toMs`. */
  hadOnlyPlannedWork(fromMs: number, toMs: number): boolean;
  all(): readonly Disruption[];
}

export function createDisruptions({ contactMs }: { contactMs: number }): Disruptions {
  const disruptions: Disruption[] = [];

  const overlapping = (fromMs: number, toMs: number) =>
    disruptions.filter(
      (disruption) => disruption.fromMs <= toMs && disruption.toMs >= fromMs - contactMs,
    );

  return {
    begin(subject, cause, { isPlanned = false } = {}) {
      const fromMs = monotonicNowMs();
      const disruption: Disruption = { subject, cause, isPlanned, fromMs, toMs: Infinity };
      disruptions.push(disruption);
      return () => {
        disruption.toMs = Math.min(disruption.toMs, monotonicNowMs());
      };
    },
    hadContact: (routerName, fromMs, toMs) =>
      overlapping(fromMs, toMs).every(
        ({ subject }) =>
          subject.kind === 'server' || (subject.kind === 'router' && subject.name !== routerName),
      ),
    isServerDisturbed: (serverId, fromMs, toMs) =>
      overlapping(fromMs, toMs).some(
        ({ subject }) => subject.kind === 'server' && subject.id === serverId,
      ),
    hadOnlyPlannedWork: (fromMs, toMs) =>
      overlapping(fromMs, toMs).every(({ isPlanned }) => isPlanned),
    all: () => disruptions,
  };
}
