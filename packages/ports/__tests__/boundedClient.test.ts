import { createServer, type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { request, type Dispatcher } from 'undici';
import { createBoundedAgent, createBoundedClient } from '@bluebellhitch/ports';
import { startEndlessServer } from '@bluebellhitch/standins';

const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';
const manyLines = 'x\n'.repeat(10_000);
const tooManyLines = 'A:\r\n'.repeat(1_000);

async function read(t: ExecutionContext, answer: string): Promise<string> {
  const { address, close } = await startEndlessServer({
    ...{ head: answer, piece: 'x', maxSentBytes: 0 },
  });
  const dispatcher = createBoundedAgent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  t.teardown(async () => {
    await dispatcher.destroy();
    close();
  });
  const response = await request(address, { dispatcher });
  return response.body.text();
}

test('a response of many lines behind an interim one is read whole', async (t) => {
  const body = `${manyLines.length.toString(16)}\r\n${manyLines}\r\n0\r\n\r\n`;
  const interim = 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n';
  t.is(await read(t, `${interim}${chunkedHead}\r\n${body}`), manyLines);
});

test('a head of too many lines fails its call at once', async (t) => {
  // The call has no time-out: what the parser keeps of each line would be held for good.
  await t.throwsAsync(read(t, chunkedHead + tooManyLines), { message: /too many lines/ });
});

test('a trailer of too many lines fails its call at once', async (t) => {
  await t.throwsAsync(read(t, `${chunkedHead}\r\n1\r\nx\r\n0\r\n${tooManyLines}`), {
    message: /too many lines/,
  });
});

test('a response that breaks off in its first line is not taken for the one behind it', async (t) => {
  // The status of the first, with the headers and the body of the second: a rejection with what was produced for the call.
  const due = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx';
  await t.throwsAsync(read(t, `HTTP/1.1 503 Service Unavai${due}`), { message: /two heads/ });
  t.is(await read(t, `HTTP/1.1 103 Early Hints\r\n\r\n${due}`), 'x');
});

const slowMs = 20;

/** The body, by a reader that pauses at the head and after each part. */
function readSlowly(client: Dispatcher): Promise<string> {
  const parts: Buffer[] = [];
  const pauseFor = (controller: Dispatcher.DispatchController) => {
    controller.pause();
    setTimeout(() => controller.resume(), slowMs);
  };
  return new Promise((resolve, reject) => {
    client.dispatch(
      { method: 'GET', path: '/' },
      {
        onRequestStart: () => undefined,
        onResponseStart: pauseFor,
        onResponseData(controller, chunk) {
          parts.push(chunk);
          pauseFor(controller);
        },
        onResponseEnd: () => resolve(Buffer.concat(parts).toString()),
        onResponseError: (_controller, error) => reject(error),
      },
    );
  });
}

[
  { name: 'with a length', head: 'Content-Length: 5\r\n' },
  { name: 'without a length', head: '' },
].forEach(({ name, head }) => {
  test(`a response ${name} whose connection is closed while it is not read arrives whole`, async (t) => {
    // The end of a connection whose parser was paused was an unhandled error: it ended the process.
    const server = createServer((socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n${head}\r\nwhole`);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const client = createBoundedClient(`http://127.0.0.1:${port}`);
    t.teardown(async () => {
      await client.destroy();
      server.close();
    });
    t.is(await readSlowly(client), 'whole');
  });
});
