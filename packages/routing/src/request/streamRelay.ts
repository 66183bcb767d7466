/**
 * Relays a stream's events to the caller, complete and in order. The response begins with the first event, so that a
 * run that breaks earlier can still be refused or retried on another server.
 */
import { createEventPauses } from '@bluebellhitch/decisions';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendResponse } from '../backendApi';
import type { CompleteResponse, ResponseWriter } from '../callerApi';
import { drainBody, readSmallBody } from '../servers/responseBody';
import type { RelayPauses, RunContext } from '../servers/streamPauses';
import { writeOrPause } from './forwardBody';
import { createEventSplitter, type StreamEvent } from './eventSplitter';
import type { RequestState } from './requestState';
import type { Contender } from './runContest';

export type RelayOutcome =
  | { kind: 'whole' }
  /** A failure that the server has answered with, kept while another run may still go on. */
  | { kind: 'failed'; detail: string }
  | { kind: 'broken'; detail: string };

export interface RelayedRun {
  response: BackendResponse;
  /** Version of the software that writes the events. */
  softwareVersion: string;
  /** The run's place among those of the request that are in progress. */
  contender: Pick<Contender, 'claim' | 'isAlone'>;
  /** Called for each chunk received. */
  onProgress(): void;
  contextSince(sinceMs: number): RunContext;
}

export interface StreamRelay {
  /**
   * Relays one run's response to its end. Of several runs at the same time only the one that has an event first is
   * relayed.
   */
  relay(run: RelayedRun): Promise<RelayOutcome>;
  hasStarted(): boolean;
  /** Passes the failure on that was kept, if nothing has been passed on; returns false if there is none. */
  forwardFailure(): boolean;
  /** Whether no events are read from the server until the caller has read those that it has. */
  isCallerBehind(): boolean;
  /** The listener is called once, when the next event arrives. */
  onFirstEvent(listener: () => void): void;
  /** Events of the whole response so far, including those of earlier runs. */
  eventCount(): number;
  /** Time from the first event that was relayed to the last. */
  eventsDurationMs(): number;
  pauses(): RelayPauses;
  /** Id of the last event that the caller has received. */
  lastEventId(): number | undefined;
  /** The software versions that have written events of this response, each once. */
  softwareVersions(): string[];
  /** Aborts the response, so that the caller detects that it is incomplete. */
  abort(): void;
}

const okStatus = 200;
/** An event holds a few tokens; bytes that are no event may come without an end. */
const maxEventBytes = 262_144;

/** Whether the response is one whose events are relayed. */
export function isStream({ isSealed, status }: BackendResponse): boolean {
  return isSealed && status === okStatus;
}

export function createStreamRelay(state: RequestState): StreamRelay {
  const { exchange } = state;
  let writer: ResponseWriter | undefined;
  let keptFailure: CompleteResponse | undefined;
  let onNextEvent: () => void = () => undefined;
  let lastId = state.request.lastEventId;
  let eventCount = state.request.lastEventId ?? 0;
  const pauses = createEventPauses<RunContext>();
  let isCallerBehind = false;
  let firstEventAtMs: number | undefined;
  let lastEventAtMs = 0;
  const softwareVersions = new Set<string>();

  async function relay(run: RelayedRun): Promise<RelayOutcome> {
    const { response } = run;
    if (!response.isSealed) {
      await drainBody(response.body);
      return { kind: 'broken', detail: `unsealed answer ${response.status}` };
    }
    return isStream(response) ? relayEvents(run) : relayFailure(run);
  }

  /** A failure of one run is not passed on while another one may still go on. */
  async function relayFailure({ response, contender }: RelayedRun): Promise<RelayOutcome> {
    const bodyRead = await readSmallBody(response.body);
    const { status, headers } = response;
    const detail = `answer ${status}`;
    if (bodyRead.kind !== 'whole' || writer !== undefined) {
      return { kind: 'broken', detail };
    }
    const failure = { status, headers, body: bodyRead.body };
    if (contender.isAlone() && contender.claim()) {
      exchange.respond(failure);
      return { kind: 'whole' };
    }
    keptFailure ??= failure;
    return { kind: 'failed', detail };
  }

  function relayEvents(run: RelayedRun): Promise<RelayOutcome> {
    const { response, onProgress, contender } = run;
    const splitter = createEventSplitter();
    const { body } = response;
    let hasEvents = false;
    return new Promise((resolve) => {
      body.read({
        onData(chunk) {
          const events = splitter.push(chunk);
          const newEvents = events.filter(isNewEvent);
          if (newEvents.length > 0 && !contender.claim()) {
            body.abandon('another run goes on');
            return;
          }
          if (newEvents.length > 0) {
            forward(run, newEvents);
          }
          if (events.length > 0) {
            hasEvents = true;
            onProgress();
          }
          if (splitter.pendingBytes() > maxEventBytes) {
            body.abandon('event too long');
          } else {
            body.noteKept?.(splitter.pendingBytes());
          }
        },
        onEnd() {
          if (splitter.pendingBytes() > 0) {
            resolve({ kind: 'broken', detail: 'ended inside an event' });
            return;
          }
          // An engine that ends before its first event looks the same as one that has nothing left to write.
          if (body.isUnframed === true && !hasEvents) {
            resolve({ kind: 'broken', detail: 'ended without an event' });
            return;
          }
          if (!contender.claim()) {
            resolve({ kind: 'broken', detail: 'another run goes on' });
            return;
          }
          writer ??= exchange.startResponse(response.status, response.headers);
          writer.end();
          resolve({ kind: 'whole' });
        },
        onLost: (detail) => resolve({ kind: 'broken', detail }),
      });
    });
  }

  /** A resumed run may repeat events that the caller has already received. */
  function isNewEvent({ id }: StreamEvent): boolean {
    return id === undefined || lastId === undefined || id > lastId;
  }

  function forward(run: RelayedRun, events: readonly StreamEvent[]): void {
    const { response, contextSince } = run;
    onNextEvent();
    onNextEvent = () => undefined;
    writer ??= exchange.startResponse(response.status, response.headers);
    softwareVersions.add(run.softwareVersion);
    eventCount += events.length;
    lastEventAtMs = monotonicNowMs();
    firstEventAtMs ??= lastEventAtMs;
    pauses.note(events.length, lastEventAtMs, contextSince);
    lastId = events.at(-1)?.id ?? lastId;
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    writeOrPause(writer, bytes, {
      pause() {
        isCallerBehind = true;
        response.body.pause();
      },
      resume() {
        isCallerBehind = false;
        response.body.resume();
      },
    });
  }

  return {
    relay,
    hasStarted: () => writer !== undefined,
    forwardFailure() {
      if (keptFailure === undefined || writer !== undefined) {
        return false;
      }
      exchange.respond(keptFailure);
      return true;
    },
    isCallerBehind: () => isCallerBehind,
    onFirstEvent(listener) {
      onNextEvent = listener;
    },
    eventCount: () => eventCount,
    eventsDurationMs: () => lastEventAtMs - (firstEventAtMs ?? lastEventAtMs),
    pauses: () => ({ longest: pauses.longest(), medianMs: pauses.medianMs() }),
    lastEventId: () => lastId,
    softwareVersions: () => [...softwareVersions],
    abort: () => writer?.abort(),
  };
}
