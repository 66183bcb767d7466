/**
 * What was disturbed when. Promises with a time bound hold only for routers that were in touch: undisturbed,
 * with an undisturbed store, for the contact time before.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';

/** What a disruption strikes: one router, one server, or the store for everyone. */
export type Subject =
  { kind: 'router'; name: string } | { kind: 'server'; id: string } | { kind: 'store' };

export interface Disruption {
  subject: Subject;
  cause: string;
  /** Planned work must cut nothing by itself. */
  isPlanned: boolean;
  fromMs: number;
  /** Infinite while it lasts. */
  toMs: number;
}

export interface Disruptions {
  /** Call the result when it ends. */
  begin(subject: Subject, cause: string, options?: { isPlanned?: boolean }): () => void;
  /** Whether the router and the store were undisturbed from the contact time before `fromMs` until `toMs`. */
  isInTouch(routerName: string, fromMs: number, toMs: number): boolean;
  /** Whether the server, or a link to it, was disturbed from the contact time before `fromMs` until `toMs`. */
  isServerDisturbed(serverId: string, fromMs: number, toMs: number): boolean;
  /** Whether nothing but planned work touched anything from the contact time before `fromMs` until `toMs`. */
  isCalm(fromMs: number, toMs: number): boolean;
  all(): readonly Disruption[];
}

export function createDisruptions({ contactMs }: { contactMs: number }): Disruptions {
  const disruptions: Disruption[] = [];

  const during = (fromMs: number, toMs: number) =>
    disruptions.filter((one) => one.fromMs <= toMs && one.toMs >= fromMs - contactMs);

  return {
    begin(subject, cause, { isPlanned = false } = {}) {
      const fromMs = monotonicNowMs();
      const disruption: Disruption = { subject, cause, isPlanned, fromMs, toMs: Infinity };
      disruptions.push(disruption);
      return () => {
        disruption.toMs = Math.min(disruption.toMs, monotonicNowMs());
      };
    },
    isInTouch: (routerName, fromMs, toMs) =>
      during(fromMs, toMs).every(
        ({ subject }) =>
          subject.kind === 'server' || (subject.kind === 'router' && subject.name !== routerName),
      ),
    isServerDisturbed: (serverId, fromMs, toMs) =>
      during(fromMs, toMs).some(
        ({ subject }) => subject.kind === 'server' && subject.id === serverId,
      ),
    isCalm: (fromMs, toMs) => during(fromMs, toMs).every(({ isPlanned }) => isPlanned),
    all: () => disruptions,
  };
}
