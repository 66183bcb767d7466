/** What came back for a request, as its caller saw it. */
import type { Arrival, ModelArrival, PlainArrival } from '../traffic/trace';

export type AnswerEnd =
  /** Ended with its end marker. */
  | { kind: 'complete' }
  | {
      kind: 'refused';
      status: number;
      reason: string;
      notRun: boolean | 'unknown';
      /** The refusal's own sentence. */
      detail?: string;
    }
  /** Broke off after some output, with an error event or without one. */
  | { kind: 'incomplete'; reason: string }
  /** No HTTP answer at all. */
  | { kind: 'connection-failed'; reason: string }
  /** Its caller left, as the trace wanted. */
  | { kind: 'cancelled' };

/** Times are milliseconds from the request's arrival. */
export interface ModelAnswer {
  arrival: ModelArrival;
  end: AnswerEnd;
  text: string;
  firstTokenMs?: number;
  lastTokenMs?: number;
  /** Between consecutive chunks of text. */
  gapsMs: number[];
  endMs: number;
}

export interface PlainAnswer {
  arrival: PlainArrival;
  end: AnswerEnd;
  text: string;
  endMs: number;
}

export type Answer = ModelAnswer | PlainAnswer;

export function isModelAnswer(answer: Answer): answer is ModelAnswer {
  return isModel(answer.arrival);
}

function isModel(arrival: Arrival): arrival is ModelArrival {
  return arrival.kind === 'model';
}
