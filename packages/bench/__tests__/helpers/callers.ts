/** Requests as callers send them, and what they make of the answer. */

/** How a streamed answer ended, as the caller can tell. */
export type StreamEnd =
  /** The end marker came. */
  | { kind: 'whole'; text: string }
  /** A status that is not 2xx, or an error event in the stream. */
  | { kind: 'error'; detail: string }
  /** The connection broke; the HTTP client reports it. */
  | { kind: 'broken'; detail: string }
  /** The stream ended properly without its end marker: what must never happen. */
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
export async function streamCompletion(options: CompletionOptions): Promise<StreamEnd> {
  try {
    const response = await sendCompletion(options);
    const body = await response.text();
    return response.ok ? endOfStream(body) : { kind: 'error', detail: body };
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

function endOfStream(body: string): StreamEnd {
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
  return data.at(-1) === doneMarker ? { kind: 'whole', text } : { kind: 'truncated', text };
}

/** One value of a metric without labels or with these exact ones; 0 where it is absent. */
export async function readMetric(adminAddress: string, series: string): Promise<number> {
  const text = await (await fetch(`${adminAddress}/metrics`)).text();
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${series} `));
  return Number(line?.split(' ').at(-1) ?? 0);
}
