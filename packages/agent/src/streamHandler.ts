/** `POST /streams`: a model response as an event stream with one JSON frame per event. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { streamRequestSchema, type StreamFrame, type StreamRequest } from '@bluebellhitch/protocol';
import type { Agent } from './agent';
import type { FrameSink } from './chunkForwarder';

/** Enough for a prompt of tens of thousands of tokens with the text emitted so far. */
const maxBodyBytes = 16 * 1024 * 1024;

export async function handleStream(
  agent: Pick<Agent, 'runStream'>,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const request = await readRequest(incoming);
  if (request === undefined) {
    outgoing.writeHead(400, { 'content-type': 'application/json' });
    outgoing.end(JSON.stringify({ title: 'not a stream request' }));
    return;
  }
  const connection = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      connection.abort();
    }
  });
  outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  outgoing.flushHeaders();
  await agent.runStream(request, createSink(outgoing), connection.signal);
  outgoing.end();
}

async function readRequest(incoming: IncomingMessage): Promise<StreamRequest | undefined> {
  const body = await readBody(incoming);
  try {
    return streamRequestSchema.safeParse(JSON.parse(body ?? '')).data;
  } catch {
    return undefined;
  }
}

async function readBody(incoming: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  try {
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      byteCount += chunk.byteLength;
      if (byteCount > maxBodyBytes) {
        return undefined;
      }
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}

function createSink(outgoing: ServerResponse): FrameSink {
  return (frame: StreamFrame) => {
    if (outgoing.destroyed || outgoing.write(`data: ${JSON.stringify(frame)}\n\n`)) {
      return undefined;
    }
    return waitForDrain(outgoing);
  };
}

function waitForDrain(outgoing: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const onWritable = () => {
      outgoing.off('drain', onWritable);
      outgoing.off('close', onWritable);
      resolve();
    };
    outgoing.on('drain', onWritable);
    outgoing.on('close', onWritable);
  });
}
