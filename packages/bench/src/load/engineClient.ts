/** Calls a stand-in engine directly, to measure the same response without entry and agent. */
import { randomUUID } from 'node:crypto';
import { enginePaths } from '@bluebellhitch/engine';
import { request, type Dispatcher } from 'undici';
import { readEvents } from './eventReader';
import { createStreamTiming, type StreamTimes } from './streamTiming';

export interface EngineStreamOptions {
  dispatcher: Dispatcher;
  /** `http://ip:port` of the engine. */
  address: string;
  model: string;
  prompt: string;
  maxOutputTokens: number;
}

export interface EngineResponse extends StreamTimes {
  isComplete: boolean;
}

const defaultPriority = 5;

export async function streamFromEngine(options: EngineStreamOptions): Promise<EngineResponse> {
  const { dispatcher, address, model, prompt, maxOutputTokens } = options;
  const timing = createStreamTiming();
  const response = await request(`${address}${enginePaths.decode}`, {
    dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      attemptId: randomUUID(),
      model,
      prompt,
      imported: false,
      maxOutputTokens,
      priority: defaultPriority,
    }),
  });
  let isComplete = false;
  response.body.setEncoding('utf8');
  for await (const { data } of readEvents(response.body as AsyncIterable<string>)) {
    const chunk = JSON.parse(data) as { kind: string; text?: string };
    isComplete ||= chunk.kind === 'end';
    if (chunk.text !== undefined) {
      timing.recordToken(chunk.text);
    }
  }
  return { ...timing.read(), isComplete };
}
