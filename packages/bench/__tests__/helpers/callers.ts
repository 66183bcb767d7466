/** Sends requests as callers do and classifies the responses as callers see them. */

/** How a streamed response ended, as seen by the caller. */
export type StreamOutcome =
  /** Ended with the end marker. */
  | { kind: 'complete'; text: string }
  /** Status other than 2xx, or an error event in the stream. */
  | { kind: 'error'; detail: string }
  /** The connection was lost and the HTTP client reported it. */
  | { kind: 'broken'; detail: string }
  /** The stream ended normally but without the end marker, which must never happen. */
  | { kind: 'truncated'; text: string };

export interface CompletionOptions {
  address: string;
  prompt: string;
  maxTokens: number;
  headers?: Record<string, string>;
}

interface CompletionEvent {
  choices?: { delta?: { content?: string } }[];
  error?: unknown;
}

const doneMarker = '[DONE]';

/** Sends a streamed completion and reads it to its end. */
export async function streamCompletion(options: CompletionOptions): Promise<StreamOutcome> {
  try {
    const response = await sendCompletion(options);
    const body = await response.text();
    return response.ok ? parseStreamOutcome(body) : { kind: 'error', detail: body };
  } catch (error) {
    return { kind: 'broken', detail: String(error) };
  }
}

function sendCompletion(options: CompletionOptions): Promise<Response> {
  const { address, prompt, maxTokens, headers = {} } = options;
  return fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-institution': 'halloran-voss', ...headers },
    body: JSON.stringify({
      model: 'draft-models',
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: prompt }],
    }),
  });
}

function parseStreamOutcome(body: string): StreamOutcome {
  const data = body
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const events = data
    .filter((line) => line !== doneMarker)
    .map((line) => JSON.parse(line) as CompletionEvent);
  const failure = events.find((event) => event.error !== undefined);
  const text = events.map((event) => event.choices?.[0]?.delta?.content ?? '').join('');
  if (failure !== undefined) {
    return { kind: 'error', detail: JSON.stringify(failure) };
  }
  return data.at(-1) === doneMarker ? { kind: 'complete', text } : { kind: 'truncated', text };
}

/** Reads one series of a metric, given by name and exact labels; 0 if it is absent. */
export async function readMetric(adminAddress: string, series: string): Promise<number> {
  const text = await (await fetch(`${adminAddress}/metrics`)).text();
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${series} `));
  return Number(line?.split(' ').at(-1) ?? 0);
}
