/** One call on one connection to a backend server, from its sending to the end of its answer. */
import type { Client, Dispatcher } from 'undici';
import { startRunningTimer } from '@bluebellhitch/shared';
import type { AnswerBody, BodyReader } from './backendApi';
import type { HttpCall, HttpOutcome } from './httpCall';

/** What the call needs of its connection. */
export interface ExchangeConnection {
  client: Client;
  /** Set while an answer is read that ends with its connection. */
  isEndChecked: boolean;
  /** How the connection ended, as far as an answer that ends with it is concerned. */
  end?: Promise<ConnectionEnd>;
}

export type ConnectionEnd = 'closed' | 'reset';

export interface ExchangeEvents {
  onReusable(): void;
  onBroken(): void;
}

type BodyEnd = { kind: 'whole' } | { kind: 'lost'; detail: string };

/** Call `start` once. */
export function createExchange(
  connection: ExchangeConnection,
  call: HttpCall,
  resolve: (outcome: HttpOutcome) => void,
  events: ExchangeEvents,
) {
  let wasSent = false;
  let isOurs = false;
  let reader: BodyReader | undefined;
  let bodyEnd: BodyEnd | undefined;
  let controller: Dispatcher.DispatchController | undefined;
  let isFramed = true;
  const headTimer = startRunningTimer(call.headTimeoutMs, () => giveUp('no answer in time'));
  const onAbort = () => giveUp('given up');

  function giveUp(reason: string): void {
    if (bodyEnd !== undefined) {
      return;
    }
    isOurs = true;
    finish(
      wasSent ? { kind: 'lost', detail: reason, isOurs } : { kind: 'not-sent', detail: reason },
      reason,
    );
  }

  function finish(outcome: HttpOutcome, detail: string): void {
    finishWaiting();
    resolve(outcome);
    events.onBroken();
    endBody({ kind: 'lost', detail });
  }

  function finishWaiting(): void {
    headTimer.stop();
  }

  function endBody(end: BodyEnd): void {
    if (bodyEnd !== undefined) {
      return;
    }
    bodyEnd = end;
    call.signal?.removeEventListener('abort', onAbort);
    deliverEnd();
  }

  function deliverEnd(): void {
    if (reader === undefined || bodyEnd === undefined) {
      return;
    }
    if (bodyEnd.kind === 'whole') {
      reader.onEnd();
    } else {
      reader.onLost(bodyEnd.detail);
    }
  }

  async function endWithConnection(): Promise<void> {
    const end = await connection.end;
    endBody(
      end === 'closed' ? { kind: 'whole' } : { kind: 'lost', detail: 'reset before its end' },
    );
  }

  const body: AnswerBody = {
    read(next) {
      reader = next;
      deliverEnd();
      controller?.resume();
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      if (call.maySend?.() === false) {
        finish({ kind: 'withheld' }, 'withheld');
        return;
      }
      wasSent = true;
      controller = started;
    },
    onResponseStart(started, status) {
      if (status < 200) {
        return;
      }
      finishWaiting();
      started.pause();
      const headers = readHeaders(started.rawHeaders);
      isFramed = hasFraming(headers, status);
      connection.isEndChecked = !isFramed;
      resolve({ kind: 'answered', answer: { status, headers, body, discard: giveUp } });
    },
    onResponseData: (_controller, chunk) => reader?.onData(chunk),
    onResponseEnd() {
      if (isFramed) {
        events.onReusable();
        endBody({ kind: 'whole' });
      } else {
        void endWithConnection();
      }
    },
    onResponseError(_controller, { message: detail }) {
      finish(wasSent ? { kind: 'lost', detail, isOurs } : { kind: 'not-sent', detail }, detail);
    },
  };

  function start(): void {
    if (call.signal?.aborted) {
      giveUp('given up');
      return;
    }
    call.signal?.addEventListener('abort', onAbort);
    connection.client.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: call.headers as string[],
        body: call.body,
      },
      handler,
    );
  }

  return { start };
}

function readHeaders(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  return Array.isArray(raw) ? raw.map((part) => part.toString('latin1')) : [];
}

/** Whether the end of the body shows in the answer itself rather than by the end of the connection. */
function hasFraming(headers: readonly string[], status: number): boolean {
  return (
    status === 204 ||
    status === 304 ||
    headers.some(
      (name, index) =>
        index % 2 === 0 && ['content-length', 'transfer-encoding'].includes(name.toLowerCase()),
    )
  );
}
