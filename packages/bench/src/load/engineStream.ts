/** Asks a stand-in engine directly for a decode: what the same answer costs without the system. */
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

export interface DirectAnswer extends StreamTimes {
  isComplete: boolean;
}

const usualPriority = 5;

export async function streamFromEngine(options: EngineStreamOptions): Promise<DirectAnswer> {
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
      priority: usualPriority,
    }),
  });
  let isComplete = false;
  response.body.setEncoding('utf8');
  for await (const { data } of readEvents(response.body as AsyncIterable<string>)) {
    const chunk = JSON.parse(data) as { kind: string; text?: string };
    isComplete ||= chunk.kind === 'end';
    if (chunk.text !== undefined) {
      timing.token(chunk.text);
    }
  }
  return { ...timing.read(), isComplete };
}
