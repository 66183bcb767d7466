/** Responses to requests as the caller saw them. */
import type { Arrival, ModelArrival, PlainArrival } from '../traffic/trace';

export type ResponseEnd =
  /** Ended with the end marker. */
  | { kind: 'complete' }
  | {
      kind: 'refused';
      status: number;
      reason: string;
      notRun: boolean | 'unknown';
      /** `detail` text of the refusal. */
      detail?: string;
    }
  /** Ended early after some output, with or without an error event. */
  | { kind: 'incomplete'; reason: string }
  /** No HTTP response at all. */
  | { kind: 'connection-failed'; reason: string }
  /** Cancelled by its caller, as planned in the trace. */
  | { kind: 'cancelled' };

/** Times are in milliseconds from the arrival of the request. */
export interface ModelResponse {
  arrival: ModelArrival;
  end: ResponseEnd;
  text: string;
  firstTokenMs?: number;
  lastTokenMs?: number;
  /** Times between consecutive chunks of text. */
  gapsMs: number[];
  endMs: number;
}

export interface PlainResponse {
  arrival: PlainArrival;
  end: ResponseEnd;
  text: string;
  endMs: number;
}

export type CallerResponse = ModelResponse | PlainResponse;

export function isModelResponse(response: CallerResponse): response is ModelResponse {
  return isModel(response.arrival);
}

function isModel(arrival: Arrival): arrival is ModelArrival {
  return arrival.kind === 'model';
}
