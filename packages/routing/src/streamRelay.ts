/**
 * Passes a stream's events on, whole and in order. The caller's answer begins with the first event, so that
 * a run which breaks before it can still end in an honest refusal or go on elsewhere.
 */
import type { BackendAnswer } from './backendApi';
import type { AnswerWriter } from './callerApi';
import { createEventSplitter, type StreamEvent } from './eventSplitter';
import type { RequestState } from './requestState';
import { readWholeBody } from './wholeBody';

export type RelayOutcome = { kind: 'whole' } | { kind: 'broken'; detail: string };

export interface StreamRelay {
  /** Relays one run's answer to its end. */
  relay(answer: BackendAnswer): Promise<RelayOutcome>;
  hasBegun(): boolean;
  /** Called with the next event that comes. */
  onFirstEvent(listener: () => void): void;
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

  async function relay(answer: BackendAnswer): Promise<RelayOutcome> {
    if (!answer.isSealed) {
      const read = await readWholeBody(answer.body);
      return { kind: 'broken', detail: `unsealed answer ${answer.status}, ${read.kind}` };
    }
    return answer.status === okStatus ? relayEvents(answer) : relayFailure(answer);
  }

  async function relayFailure(answer: BackendAnswer): Promise<RelayOutcome> {
    const read = await readWholeBody(answer.body);
    if (read.kind === 'lost' || writer !== undefined) {
      return { kind: 'broken', detail: `answer ${answer.status}` };
    }
    const { status, headers } = answer;
    exchange.answer({ status, headers, body: read.body });
    return { kind: 'whole' };
  }

  function relayEvents(answer: BackendAnswer): Promise<RelayOutcome> {
    const splitter = createEventSplitter();
    return new Promise((resolve) => {
      answer.body.read({
        onData(chunk) {
          const fresh = splitter.push(chunk).filter(isFresh);
          if (fresh.length > 0) {
            forward(answer, fresh);
          }
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
    lastId = events.at(-1)?.id ?? lastId;
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    if (!writer.write(bytes)) {
      answer.body.pause();
      writer.onDrained(answer.body.resume);
    }
  }

  return {
    relay,
    hasBegun: () => writer !== undefined,
    onFirstEvent(listener) {
      onNextEvent = listener;
    },
    lastEventId: () => lastId,
    cut: () => writer?.cut(),
  };
}
