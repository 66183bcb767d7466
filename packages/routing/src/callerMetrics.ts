/** Metrics of callers' connections: what was closed unread, who left early, and how long nothing was read. */
import { Counter, Histogram, type Registry } from 'prom-client';

export interface CallerMetrics {
  /** Counts requests whose callers left before the end of the response, by whether they had been sent to a server. */
  countDeparture(service: string, stage: 'unsent' | 'sent'): void;
  /** Counts requests whose callers had left before anything was done for them. */
  countLeftUnserved(): void;
  /** Time from the last sending of such a request to the moment at which its caller's end was read. */
  observeSentBeforeDeparture(service: string, durationMs: number): void;
  /** Duration of a time in which the process read nothing. */
  observeHoldUp(durationMs: number): void;
  /** Counts callers' connections that were closed unread. */
  countClosedUnread(): void;
}

const msPerSecond = 1_000;
const buckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15];

export function createCallerMetrics(registry: Registry): CallerMetrics {
  const registers = [registry];
  const departures = new Counter({
    name: 'bluebell_departed_callers_total',
    help: 'Requests whose callers left before the end of the answer, by whether they had been sent to a server.',
    labelNames: ['service', 'stage'],
    registers,
  });
  const sentBeforeDeparture = new Histogram({
    name: 'bluebell_sent_before_departure_seconds',
    help: "From the last sending of a request to the reading of its caller's end.",
    labelNames: ['service'],
    buckets,
    registers,
  });
  const holdUps = new Histogram({
    name: 'bluebell_hold_up_seconds',
    help: 'Times in which the process read nothing: stopped, short of processor time, or busy with one task.',
    buckets,
    registers,
  });
  const closedUnread = new Counter({
    name: 'bluebell_connections_closed_unread_total',
    help: 'New connections of callers that were closed before anything was read, for lack of processor time.',
    registers,
  });
  return {
    countDeparture: (service, stage) => departures.inc({ service, stage }),
    countLeftUnserved: () => departures.inc({ service: '', stage: 'unserved' }),
    observeSentBeforeDeparture: (service, durationMs) =>
      sentBeforeDeparture.observe({ service }, durationMs / msPerSecond),
    observeHoldUp: (durationMs) => holdUps.observe(durationMs / msPerSecond),
    countClosedUnread: () => closedUnread.inc(),
  };
}
