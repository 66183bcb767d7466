/** Checks that routers take servers at their word when these say that they leave, or want rest, by what reached them. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { Disruptions } from './disruptions';
import { promises, type Findings, type Promised } from './findings';
import type { Arrival, Ledger, SentRequest } from './ledger';

export interface WordChecksOptions {
  ledger: Ledger;
  findings: Findings;
  disruptions: Disruptions;
}

export interface WordChecks {
  /** The server's answers say from now on that it leaves. */
  leaves(serverId: string): void;
  /** The server turns all away and asks for so much rest each time; call the result when it no longer does. */
  rests(serverId: string, restMs: number): () => void;
  /** Looks at all words once a run is over. */
  checkAll(): void;
}

/** A time in which a router that has read the word sends nothing to the server. */
interface Silence {
  serverId: string;
  routerName: string;
  /** A caller had its request's end by then, and the router therefore the word. */
  fromMs: number;
  toMs: number;
}

interface RestTime {
  serverId: string;
  restMs: number;
  fromMs: number;
  toMs: number;
}

export function createWordChecks(options: WordChecksOptions): WordChecks {
  const { ledger, findings, disruptions } = options;
  const leavingSinceMs = new Map<string, number>();
  const rests: RestTime[] = [];

  /** The only run of a request whose caller has its whole answer: the router has read that server's words. */
  function wasRead(arrival: Arrival, { end }: SentRequest): boolean {
    const runs = ledger.arrivalsOf(arrival.requestId).filter(({ isPrefill }) => !isPrefill);
    return end?.kind === 'whole' && runs.length === 1 && runs[0] === arrival;
  }

  function silenceAfterLeaving(arrival: Arrival, request: SentRequest): Silence | undefined {
    const { serverId, atMs } = arrival;
    const isToldOf = atMs >= (leavingSinceMs.get(serverId) ?? Infinity);
    return isToldOf && wasRead(arrival, request)
      ? silenceOf(arrival, request, Infinity)
      : undefined;
  }

  /** A refusal says that nothing runs any more, so the router has read that the server did not run it. */
  function silenceAfterRest(arrival: Arrival, request: SentRequest): Silence | undefined {
    const { serverId, atMs, hasRun } = arrival;
    const rest = rests.find(
      (one) => one.serverId === serverId && one.fromMs <= atMs && atMs <= one.toMs,
    );
    const wasHeard =
      request.end?.kind === 'refused' && ledger.arrivalsOf(request.id).length === 1 && !hasRun;
    return rest !== undefined && wasHeard
      ? silenceOf(arrival, request, atMs + rest.restMs)
      : undefined;
  }

  function silenceOf({ serverId }: Arrival, request: SentRequest, toMs: number): Silence {
    const { routerName, endedAtMs: fromMs = Infinity } = request;
    return { serverId, routerName, fromMs, toMs };
  }

  function collect(
    silenceAfter: (arrival: Arrival, request: SentRequest) => Silence | undefined,
  ): Silence[] {
    return ledger.arrivals().flatMap((arrival) => {
      const request = ledger.request(arrival.requestId);
      return (request && silenceAfter(arrival, request)) ?? [];
    });
  }

  function check(promise: Promised, silences: readonly Silence[]): void {
    const arrivals = ledger.arrivals();
    silences.forEach((silence) => {
      const broken = arrivals.find((arrival) => breaks(arrival, silence));
      if (broken !== undefined) {
        const sinceMs = Math.round(broken.atMs - silence.fromMs);
        const detail = `${silence.routerName} sent to ${silence.serverId} ${sinceMs} ms after its word`;
        findings.add(promise, detail, broken.requestId);
      }
    });
  }

  /** What a caller sent before the router had the word may be on its way. */
  function breaks({ serverId, atMs, requestId }: Arrival, silence: Silence): boolean {
    const request = ledger.request(requestId);
    return (
      serverId === silence.serverId &&
      request?.routerName === silence.routerName &&
      request.sentAtMs > silence.fromMs &&
      atMs < silence.toMs &&
      !hasForgotten(silence.routerName, silence.fromMs, atMs)
    );
  }

  function hasForgotten(routerName: string, fromMs: number, toMs: number): boolean {
    return disruptions
      .all()
      .some(
        ({ subject, cause, ...one }) =>
          subject.kind === 'router' &&
          subject.name === routerName &&
          (cause === 'killed' || cause === 'stopped') &&
          one.fromMs <= toMs &&
          one.toMs >= fromMs,
      );
  }

  return {
    leaves: (serverId) => leavingSinceMs.set(serverId, monotonicNowMs()),
    rests(serverId, restMs) {
      const rest = { serverId, restMs, fromMs: monotonicNowMs(), toMs: Infinity };
      rests.push(rest);
      return () => {
        rest.toMs = Math.min(rest.toMs, monotonicNowMs());
      };
    },
    checkAll() {
      check(promises.leavingWord, collect(silenceAfterLeaving));
      check(promises.restWord, collect(silenceAfterRest));
    },
  };
}
