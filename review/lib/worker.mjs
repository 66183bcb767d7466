/**
 * A small worker of the platform, as a process of its own: an engine (`stage` given) or a plain one. It behaves as the
 * pages say. The parent process registers it in the store, tells it when its answers have no length, and ends it.
 */
import { createServer } from 'node:http';

const options = JSON.parse(process.argv[2]);
const {
  id,
  ip,
  slots,
  kvTokens = 54_104,
  eventCount = 69,
  eventGapMs = 100,
  workMs = 43,
} = options;
const holds = new Map();
const runs = new Map();
const handles = new Set();
let { stage } = options;
let isDraining = false;
let leavesAtMs;
/** Every so many answers has no length; 0 for none. */
let unframedEvery = 0;
let answerCount = 0;
let lastNumber = 0;
let orderCount = 0;
let isSwitching = false;

const tell = (message) => process.send(message);

function usedTokens() {
  const held = [...holds.values()].reduce((sum, tokens) => sum + tokens, 0);
  return [...runs.values()].reduce((sum, { tokens }) => sum + tokens, held);
}

function json(response, status, value, headers = {}) {
  const body = JSON.stringify(value);
  const type = { 'content-type': 'application/json', 'content-length': body.length };
  response.writeHead(status, { ...type, ...headers });
  response.end(body);
}

const requestIdOf = ({ headers }) => headers['bluebellhitch-request-id'];

function shed(request, response) {
  const requestId = requestIdOf(request);
  const echo = requestId === undefined ? {} : { 'bluebellhitch-request-id': requestId };
  json(response, 503, {}, { ...echo, 'bluebellhitch-not-executed': '1' });
}

function promptTokensOf({ headers }) {
  return Number((headers['bluebellhitch-token-count'] ?? '1,1').split(',')[0]);
}

function takeHold(body, request, response) {
  const { tokens, ttl_ms: lifetimeMs } = JSON.parse(body);
  if (usedTokens() + tokens > kvTokens || holds.size + runs.size >= slots) {
    shed(request, response);
    return;
  }
  lastNumber += 1;
  const hold = `h${lastNumber}`;
  holds.set(hold, tokens);
  setTimeout(() => holds.delete(hold), lifetimeMs).unref();
  json(response, 200, { hold });
}

function prefill(request, response) {
  lastNumber += 1;
  const handle = `${id}-${lastNumber}-${Math.random().toString(16).slice(2)}`;
  handles.add(handle);
  const tokens = promptTokensOf(request);
  setTimeout(() => {
    const echo = { 'bluebellhitch-request-id': requestIdOf(request) };
    json(response, 200, { kv_handle: handle, tokens, version: 1 }, echo);
  }, tokens / 55);
}

/** Returns the headers of a success, and whether it has no length. */
function begin(request, response) {
  answerCount += 1;
  const isUnframed = unframedEvery > 0 && answerCount % unframedEvery === 0;
  if (isUnframed) {
    response.useChunkedEncodingByDefault = false;
  }
  return {
    isUnframed,
    headers: {
      'bluebellhitch-request-id': requestIdOf(request),
      'bluebellhitch-server-seal': `seal.${id}.${requestIdOf(request)}`,
      'bluebellhitch-weight-versions': '1',
    },
  };
}

/** A part of a prompt, but the last, or a whole request that ends each process that runs it. */
function findDeadly({ headers }, body) {
  const parts = (headers['bluebellhitch-prompt-prefix'] ?? '').split(',').slice(0, -1);
  const hasPart = parts.some((part) => part.split(':')[0] === options.deadlyPart);
  const isRequest = options.deadlyBody !== undefined && body.startsWith(options.deadlyBody);
  return (hasPart && 'part') || (isRequest && 'request');
}

function crash(cause, requestId) {
  process.send({ kind: 'crashed', cause, text: `crashes by a ${cause}, ${requestId}` }, () =>
    process.exit(1),
  );
}

function runStream(request, response, requestBody) {
  const deadly = findDeadly(request, requestBody);
  if (deadly === 'request') {
    crash(deadly, requestIdOf(request));
    return;
  }
  const hold = request.headers['bluebellhitch-kv-hold'];
  holds.delete(hold);
  const requestId = requestIdOf(request);
  const { isUnframed, headers } = begin(request, response);
  const run = { requestId, tokens: promptTokensOf(request), events: 0, isUnframed };
  runs.set(requestId, run);
  tell({ kind: 'began', requestId, text: `runs ${requestId}` });
  let event = Number(request.headers['last-event-id'] ?? 0);
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  const timer = setInterval(() => {
    event += 1;
    run.events = event;
    response.write(`id: ${event}\ndata: piece ${event} of ${requestId}\n\n`);
    if (deadly === 'part') {
      clearInterval(timer);
      setTimeout(() => crash(deadly, requestId), 10);
      return;
    }
    if (event >= eventCount) {
      clearInterval(timer);
      response.end();
    }
  }, eventGapMs);
  response.once('close', () => {
    clearInterval(timer);
    runs.delete(requestId);
  });
}

function runPlain(request, response) {
  const requestId = requestIdOf(request);
  tell({ kind: 'began', requestId, text: `runs ${requestId}` });
  setTimeout(() => {
    const { headers, isUnframed } = begin(request, response);
    const body = `answer to ${requestIdOf(request)}`.padEnd(800, '.');
    const length = isUnframed ? {} : { 'content-length': body.length };
    response.writeHead(200, { ...headers, ...length });
    response.end(body);
  }, workMs);
}

function takeOrder(body, response) {
  const order = JSON.parse(body);
  if (order.stage === stage) {
    json(response, 200, {});
  } else if (isSwitching || (order.expect !== undefined && order.expect !== orderCount)) {
    json(response, 409, {});
  } else {
    orderCount += 1;
    isSwitching = true;
    setTimeout(() => {
      stage = order.stage;
      isSwitching = false;
      tell({ kind: 'stage', stage });
    }, 6_000);
    json(response, 202, {});
  }
}

function report(response) {
  json(response, 200, {
    stage,
    models: [{ name: 'm', version: 1, adapters: [] }],
    busy: isSwitching,
    sequence: orderCount,
    waiting: 0,
    running: runs.size,
    kv_used: usedTokens(),
    kv_total: kvTokens,
    kv_handles: handles.size,
    held: [...holds.values()].reduce((sum, tokens) => sum + tokens, 0),
    state: isDraining ? 'draining' : 'ready',
    ...(leavesAtMs === undefined ? {} : { leaves_ms: Math.max(0, leavesAtMs - Date.now()) }),
    runs: [...runs.values()].map(({ requestId, tokens, events }) => [requestId, tokens, events, 5]),
  });
}

function serve(request, body, response) {
  const { url, headers } = request;
  const expected = headers['bluebellhitch-expect-instance'];
  if (expected !== undefined && expected !== id) {
    json(response, 421, {}, { 'bluebellhitch-instance-id': id });
  } else if (url === '/health') {
    json(response, isDraining ? 503 : 200, {}, { 'bluebellhitch-instance-id': id });
  } else if (url === '/report') {
    report(response);
  } else if (url === '/hold-take') {
    takeHold(body, request, response);
  } else if (url.startsWith('/hold-drop/')) {
    holds.delete(url.slice('/hold-drop/'.length));
    json(response, 200, {});
  } else if (url.startsWith('/kv-handle/')) {
    handles.delete(url.slice('/kv-handle/'.length));
    json(response, 200, {});
  } else if (url === '/order') {
    takeOrder(body, response);
  } else if (stage === undefined) {
    runPlain(request, response);
  } else if (headers['bluebellhitch-stage'] === 'prefill') {
    prefill(request, response);
  } else {
    runStream(request, response, body);
  }
}

const server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => serve(request, Buffer.concat(chunks).toString(), response));
});

process.on('disconnect', () => process.exit(0));
process.on('message', (message) => {
  switch (message.kind) {
    case 'unframed':
      unframedEvery = message.every;
      break;
    case 'leave':
      isDraining = true;
      leavesAtMs = Date.now() + message.inMs;
      break;
    case 'exit': {
      const running = [...runs.values()];
      const cut = running.map(({ requestId, events, isUnframed }) => ({
        requestId,
        events,
        isUnframed,
      }));
      // Ends only once the parent has the list; the kernel then closes the connections.
      process.send({ kind: 'cut', cut }, () => process.exit(0));
      break;
    }
    default:
  }
});

server.listen(0, ip, () => tell({ kind: 'listening', address: `${ip}:${server.address().port}` }));
