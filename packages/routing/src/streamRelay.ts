/**
 * Passes a stream's events on, whole and in order. The caller's answer begins with the first event, so that
 * a run which breaks before it can still end in an honest refusal or go on elsewhere.
 */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendAnswer } from './backendApi';
import type { AnswerWriter } from './callerApi';
import { writeOrPause } from './forwardBody';
import { createEventSplitter, type StreamEvent } from './eventSplitter';
import type { RequestState } from './requestState';
import { drainBody, readWholeBody } from './wholeBody';

export type RelayOutcome = { kind: 'whole' } | { kind: 'broken'; detail: string };

export interface StreamRelay {
  /** Relays one run's answer to its end; `onProgress` is called with each part of it. */
  relay(answer: BackendAnswer, onProgress: () => void): Promise<RelayOutcome>;
  hasBegun(): boolean;
  /** Called with the next event that comes. */
  onFirstEvent(listener: () => void): void;
  /** Events of the whole answer so far, those of earlier runs too. */
  eventCount(): number;
  /** From this answer's first event to its last. */
  eventsTookMs(): number;
  /** The last event that the caller has. */
  lastEventId(): number | undefined;
  /** Ends the answer so that it cannot look complete. */
  cut(): void;
}

const okStatus = 200;

export function createStreamRelay(state: RequestState): StreamRelay {
  const { exchange } = state;
  let writer: AnswerWriter | undefined;
  let onNextEvent: () => void = () => undefined;
  let lastId = state.request.lastEventId;
  let eventCount = state.request.lastEventId ?? 0;
  let firstEventAtMs: number | undefined;
  let lastEventAtMs = 0;

  async function relay(answer: BackendAnswer, onProgress: () => void): Promise<RelayOutcome> {
    if (!answer.isSealed) {
      await drainBody(answer.body);
      return { kind: 'broken', detail: `unsealed answer ${answer.status}` };
    }
    return answer.status === okStatus ? relayEvents(answer, onProgress) : relayFailure(answer);
  }

  async function relayFailure(answer: BackendAnswer): Promise<RelayOutcome> {
    const read = await readWholeBody(answer.body);
    if (read.kind !== 'whole' || writer !== undefined) {
      return { kind: 'broken', detail: `answer ${answer.status}` };
    }
    const { status, headers } = answer;
    exchange.answer({ status, headers, body: read.body });
    return { kind: 'whole' };
  }

  function relayEvents(answer: BackendAnswer, onProgress: () => void): Promise<RelayOutcome> {
    const splitter = createEventSplitter();
    return new Promise((resolve) => {
      answer.body.read({
        onData(chunk) {
          const fresh = splitter.push(chunk).filter(isFresh);
          if (fresh.length > 0) {
            forward(answer, fresh);
          }
          onProgress();
        },
        onEnd() {
          if (splitter.pendingBytes() > 0) {
            resolve({ kind: 'broken', detail: 'ended inside an event' });
            return;
          }
          writer ??= exchange.begin(answer.status, answer.headers);
          writer.end();
          resolve({ kind: 'whole' });
        },
        onLost: (detail) => resolve({ kind: 'broken', detail }),
      });
    });
  }

  /** A run that goes on elsewhere may repeat events that the caller has. */
  function isFresh({ id }: StreamEvent): boolean {
    return id === undefined || lastId === undefined || id > lastId;
  }

  function forward(answer: BackendAnswer, events: readonly StreamEvent[]): void {
    onNextEvent();
    onNextEvent = () => undefined;
    writer ??= exchange.begin(answer.status, answer.headers);
    eventCount += events.length;
    lastEventAtMs = monotonicNowMs();
    firstEventAtMs ??= lastEventAtMs;
    lastId = events.at(-1)?.id ?? lastId;
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    writeOrPause(writer, bytes, answer.body);
  }

  return {
    relay,
    hasBegun: () => writer !== undefined,
    onFirstEvent(listener) {
      onNextEvent = listener;
    },
    eventCount: () => eventCount,
    eventsTookMs: () => lastEventAtMs - (firstEventAtMs ?? lastEventAtMs),
    lastEventId: () => lastId,
    cut: () => writer?.cut(),
  };
}
