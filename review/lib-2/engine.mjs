/**
 * A small stand-in for a model worker, as the protocol page describes it. While its memory is taken, it has preempted the
 * streams that it runs, which go on later, and while its queue is long it resets new connections. Otherwise it answers all
 * calls, and it never ends a stream early.
 */
import { createServer } from 'node:http';

/** As long as the site's workers keep idle connections. */
const keepAliveMs = 1_500;
const okStatus = 200;
const rejectedStatus = 503;
const misdirectedStatus = 421;

export async function startEngine({
  id,
  service,
  stage,
  eventCount,
  eventGapMs,
  kvTokens = 54_104,
}) {
  const runs = [];
  let isPreempting = false;
  let takesConnections = true;
  let resetCount = 0;
  let lastNumber = 0;
  let entryCount = 0;
  let runningCount = 0;
  const holds = new Map();
  const handles = new Set();

  const heldTokens = () => [...holds.values()].reduce((sum, tokens) => sum + tokens, 0);

  function json(response, status, value, headers = {}) {
    const body = JSON.stringify(value);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...headers,
    });
    response.end(body);
  }

  function report() {
    return {
      ...{ stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: 0 },
      ...{ waiting: 0, running: runningCount, kv_used: heldTokens(), kv_total: kvTokens },
      ...{ kv_handles: handles.size, held: heldTokens(), state: 'ready' },
    };
  }

  function takeHold(body, response) {
    const { tokens, ttl_ms: lifetimeMs } = JSON.parse(body);
    if (heldTokens() + tokens > kvTokens) {
      json(response, rejectedStatus, {}, { 'bluebellhitch-not-executed': '1' });
      return;
    }
    lastNumber += 1;
    const hold = `h${lastNumber}`;
    holds.set(hold, tokens);
    setTimeout(() => holds.delete(hold), lifetimeMs).unref();
    json(response, okStatus, { hold });
  }

  function stream(call, response) {
    const run = { ...call, startedAtMs: performance.now(), eventCount: 0 };
    runs.push(run);
    runningCount += 1;
    holds.delete(call.headers['bluebellhitch-kv-hold']);
    response.writeHead(okStatus, {
      'content-type': 'text/event-stream',
      'bluebellhitch-request-id': call.requestId,
      'bluebellhitch-server-seal': `seal-${id}`,
    });
    const timer = setInterval(() => {
      if (isPreempting) {
        return;
      }
      run.eventCount += 1;
      response.write(`id: ${run.eventCount}\ndata: token ${run.eventCount}\n\n`);
      if (run.eventCount === eventCount) {
        run.isComplete = true;
        response.end();
      }
    }, eventGapMs);
    response.once('close', () => {
      clearInterval(timer);
      runningCount -= 1;
      run.endedAtMs = performance.now();
    });
  }

  function serve(call, response) {
    const { path, headers, requestId, body } = call;
    const expected = headers['bluebellhitch-expect-instance'];
    if (expected !== undefined && expected !== id) {
      json(response, misdirectedStatus, {}, { 'bluebellhitch-instance-id': id });
    } else if (path === '/report') {
      json(response, okStatus, report());
    } else if (path === '/health') {
      json(response, okStatus, {}, { 'bluebellhitch-instance-id': id });
    } else if (path === '/hold-take') {
      takeHold(body, response);
    } else if (path.startsWith('/hold-drop/')) {
      holds.delete(path.slice('/hold-drop/'.length));
      json(response, okStatus, {});
    } else if (path.startsWith('/kv-handle/')) {
      handles.delete(path.slice('/kv-handle/'.length));
      json(response, okStatus, {});
    } else if (path === '/order') {
      json(response, okStatus, {});
    } else if (headers['bluebellhitch-stage'] === 'prefill') {
      lastNumber += 1;
      const handle = `${id}-${lastNumber}`;
      handles.add(handle);
      const result = { kv_handle: handle, tokens: 1, version: 1 };
      json(response, okStatus, result, { 'bluebellhitch-request-id': requestId });
    } else {
      stream(call, response);
    }
  }

  const server = createServer({ keepAliveTimeout: keepAliveMs }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const { method, url: path, headers } = request;
      const requestId = headers['bluebellhitch-request-id'];
      serve({ method, path, headers, requestId, body: Buffer.concat(chunks).toString() }, response);
    });
  });
  server.prependListener('connection', (socket) => {
    if (!takesConnections) {
      resetCount += 1;
      socket.resetAndDestroy();
    }
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${server.address().port}`;

  function entryAt() {
    entryCount += 1;
    return {
      ...{ service, address, zone: 'tacoma-hall', version: 'v1', slots: 64, state: 'ready' },
      ...{ cold_remaining_ms: 0, stage, sequence: entryCount },
      models: [{ name: 'm', version: 1, adapters: [] }],
    };
  }

  return {
    ...{ id, address, runs, entryAt },
    entry: entryAt(),
    resetCount: () => resetCount,
    /** Memory is taken and the queue is long, or no more. */
    setFull(isFull) {
      isPreempting = isFull;
      takesConnections = !isFull;
    },
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}
