/** `POST /streams`: a model answer as an event stream, one JSON frame an event. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { streamRequestSchema, type StreamFrame, type StreamRequest } from '@bluebellhitch/protocol';
import type { Agent } from './agent';
import type { FrameSink } from './chunkForwarder';

/** Longest body: a prompt of tens of thousands of tokens with what was emitted so far. */
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
  const gone = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) {
      gone.abort();
    }
  });
  outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
  outgoing.flushHeaders();
  await agent.runStream(request, createSink(outgoing), gone.signal);
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
  const parts: Buffer[] = [];
  let byteCount = 0;
  try {
    for await (const part of incoming as AsyncIterable<Buffer>) {
      byteCount += part.byteLength;
      if (byteCount > maxBodyBytes) {
        return undefined;
      }
      parts.push(part);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(parts).toString('utf8');
}

function createSink(outgoing: ServerResponse): FrameSink {
  return (frame: StreamFrame) => {
    if (outgoing.destroyed || outgoing.write(`data: ${JSON.stringify(frame)}\n\n`)) {
      return undefined;
    }
    return untilRoom(outgoing);
  };
}

function untilRoom(outgoing: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const proceed = () => {
      outgoing.off('drain', proceed);
      outgoing.off('close', proceed);
      resolve();
    };
    outgoing.on('drain', proceed);
    outgoing.on('close', proceed);
  });
}
