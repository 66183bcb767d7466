/** `POST /streams`: a model response as an event stream with one JSON frame per event. */
import type { ServerResponse } from 'node:http';
import {
  readInnerBody,
  refuseInnerBody,
  type BodyReaderPool,
  type InnerCall,
} from '@bluebellhitch/ports';
import { streamRequestSchema, type StreamFrame, type StreamRequest } from '@bluebellhitch/protocol';
import type { Agent } from './agent';
import type { FrameSink } from './chunkForwarder';

export async function handleStream(
  agent: Pick<Agent, 'runStream'>,
  call: InnerCall,
  bodies: BodyReaderPool,
): Promise<void> {
  const { outgoing } = call;
  const body = await readInnerBody(call, bodies);
  if (body.kind !== 'whole') {
    refuseInnerBody(call, body.kind);
    return;
  }
  const request = parseRequest(body.body);
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

function parseRequest(body: Buffer): StreamRequest | undefined {
  try {
    return streamRequestSchema.safeParse(JSON.parse(body.toString('utf8'))).data;
  } catch {
    return undefined;
  }
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
