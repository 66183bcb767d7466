/**
 * Four routers before workers of a plain service. For some seconds many callers come at once, whose bodies are within the
 * configured limit; they keep to `Retry-After`. After that, and after the time to recover, the operator adds a route. Then
 * callers ask for three kinds: two of the first routes, one with a short body and one without, and the added one.
 */
import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { configurationOf, host, plainService, startDeployment } from '../lib-2/deployment.mjs';
import { smallBounds } from '../lib-2/fleet.mjs';
import { runCase } from '../lib-2/runCase.mjs';

/** `TROUBLE=0` leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';
const routerCount = 4;
/** Below `max_body_bytes` of the configuration, 4,194,304. */
const longBody = Buffer.alloc(4_000_000, 'x');
const shortBody = Buffer.alloc(600, 'x');
const longCallersPerRouter = 16;
/** The longest that the pages name for a burst. */
const burstMs = 10_000;
const calmMs = 4_000;
const measureMs = 10_000;
const shortPauseMs = 100;
const deadlineMs = 4_000;
const msPerSecond = 1_000;
/** The added route must be served at least this share as often as the first ones, and each kind as often as all. */
const leastShare = 0.25;
const leastAdded = 20;
const workers = [0, 1, 2].map((index) => ({
  ...{ id: `i-bbbb000${index}`, service: plainService, workMs: 43 },
}));
const kinds = [
  { name: 'balance lookup', method: 'POST', path: '/balances/1', body: shortBody },
  { name: 'receipt page', method: 'GET', path: '/receipts/1', body: Buffer.alloc(0) },
  { name: 'booking', method: 'POST', path: '/bookings/1', body: shortBody, isAdded: true },
];

/** The next version of the configuration: it has one more route. */
function configurationWithBookings() {
  const { routes } = configurationOf(1);
  const balances = routes.find(({ name }) => name === 'balances');
  const bookings = { ...balances, name: 'bookings', path_prefix: '/bookings/' };
  return configurationOf(2, { routes: [...routes, bookings] });
}

function call({ router, id, method, path, body }) {
  return new Promise((resolve) => {
    const outgoing = request(
      {
        ...{ host: router.ip, port: router.port, agent: false, method, path },
        headers: {
          host,
          'bluebellhitch-request-id': id,
          'bluebellhitch-deadline-ms': String(deadlineMs),
          'content-length': body.length,
        },
      },
      (incoming) => {
        const chunks = [];
        incoming.on('data', (chunk) => chunks.push(chunk));
        incoming.on('error', () => undefined);
        incoming.on('close', () =>
          resolve({
            status: incoming.statusCode,
            retryAfterMs: Number(incoming.headers['retry-after'] ?? 0) * msPerSecond,
            text: Buffer.concat(chunks).toString().slice(0, 60),
          }),
        );
      },
    );
    outgoing.on('error', ({ code }) => resolve({ status: code, retryAfterMs: 0, text: '' }));
    outgoing.end(body);
  });
}

function countBy(values) {
  const counts = new Map();
  values.forEach((value) => counts.set(value, (counts.get(value) ?? 0) + 1));
  return [...counts].map(([value, count]) => `${count} x ${value}`).join(', ');
}

async function play({ record, onEnd }) {
  const deployment = await startDeployment({ routerCount, workers });
  onEnd(deployment.close);
  const { routers, store } = deployment;
  let lastNumber = 0;

  async function callAndRecord(router, what) {
    lastNumber += 1;
    const id = `q${lastNumber}`;
    record(`${id} sent to ${router.name}: ${what.method} ${what.path}, ${what.body.length} bytes`);
    const answer = await call({ ...what, router, id });
    record(`${id} ended: ${answer.status} ${answer.status === 200 ? '' : answer.text}`);
    return { ...answer, id, router };
  }

  async function callUntil(endsAtMs, router, what, pauseMs) {
    const answers = [];
    while (performance.now() < endsAtMs) {
      const answer = await callAndRecord(router, what);
      answers.push(answer);
      await delay(Math.max(pauseMs, answer.retryAfterMs));
    }
    return answers;
  }

  async function burst() {
    const endsAtMs = performance.now() + burstMs;
    const upload = { method: 'POST', path: '/balances/long', body: longBody };
    const answers = await Promise.all(
      routers.flatMap((router) =>
        Array.from({ length: longCallersPerRouter }, () => callUntil(endsAtMs, router, upload, 0)),
      ),
    );
    return answers.flat();
  }

  await delay(calmMs);
  const uploads = hasTrouble ? await burst() : [];
  record('the burst is over');
  await delay(smallBounds.recover_s * msPerSecond);
  const areReady = await Promise.all(routers.map((router) => router.isReady()));
  record(`ready after the time to recover: ${areReady.join(', ')}`);
  store.put('config', 'main', configurationWithBookings());
  record('the store has acknowledged version 2, with the route for bookings');
  await delay(2 * smallBounds.config_apply_ms);
  const endsAtMs = performance.now() + measureMs;
  const asked = await Promise.all(
    kinds.flatMap((kind) =>
      routers.map(async (router) => ({
        ...{ kind, answers: await callUntil(endsAtMs, router, kind, shortPauseMs) },
      })),
    ),
  );
  deployment.workers.forEach(({ id, runs }) => {
    runs.forEach(({ headers }) => record(`${headers['bluebellhitch-request-id']} ran at ${id}`));
  });

  const servedShare = (answers) =>
    answers.filter(({ status }) => status === 200).length / Math.max(1, answers.length);
  const answersOf = (isChosen) =>
    asked.filter(({ kind }) => isChosen(kind)).flatMap(({ answers }) => answers);
  const inHundred = (answers) => `${(servedShare(answers) * 100).toFixed(1)} in 100`;
  const added = answersOf(({ isAdded }) => isAdded);
  const first = answersOf(({ isAdded }) => !isAdded);
  const all = answersOf(() => true);
  const isBroken =
    added.length >= leastAdded && servedShare(added) < leastShare * servedShare(first);
  const starved = kinds.filter(
    (kind) => servedShare(answersOf((one) => one === kind)) < leastShare * servedShare(all),
  );
  return {
    broken: isBroken
      ? [
          `CONFIG: of ${added.length} requests on the added route ${inHundred(added)} served, of ${first.length} on the first routes ${inHundred(first)}`,
          `Starved kinds, of all requests ${inHundred(all)} served: ${starved.map(({ name }) => name).join(', ')}`,
        ]
      : [],
    counts: [
      `long bodies: ${uploads.length} asked, ${countBy(uploads.map(({ status }) => status))}`,
      ...kinds.map((kind) => {
        const answers = answersOf((one) => one === kind);
        const outcomes = answers.map(({ status, text }) =>
          status === 200 ? '200' : `${status} ${text}`,
        );
        return `${kind.name}: ${countBy(outcomes)}`;
      }),
      `machines that say they are ready: ${areReady.filter(Boolean).length} of ${routerCount}; ends of processes: ${routers.flatMap(({ exits }) => exits).length}`,
    ],
  };
}

await runCase({ folder: import.meta.dirname, hasTrouble, play });
