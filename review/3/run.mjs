/**
 * Two software versions of the engines serve side by side while all routers are killed at one moment and come back.
 * Clients take up their streams again that broke. They must go on about as often as new streams begin.
 */
import { configurationOf, delay, runCase, send } from '../lib/harness.mjs';

const routerCount = 4;
const versions = ['v1', 'v2'];
const decodersPerVersion = 3;
const eventCount = 69;
const eventGapMs = 60;
const streamsPerSecond = 12.7;
const baselineMs = 9_000;
const afterMs = 12_000;
/** A client takes its stream up again this long after it broke, and once more as a refusal tells it. */
const takeUpMs = 4_000;
const contactMs = 3_000;
const minTakenUp = 12;
const deadlineMs = 14_000;
const msPerSecond = 1_000;

/** Number of the last whole event. */
function lastEventOf(body) {
  return [...body.matchAll(/^id: (\d+)\n.*\n\n/gm)].reduce(
    (last, [, number]) => Math.max(last, Number(number)),
    0,
  );
}

await runCase(import.meta.dirname, async (deployment, isTroubled) => {
  const { configure, startRouters, startWorker, note, nowMs } = deployment;
  configure(configurationOf(1));
  const engine = { service: 'draft-models', slots: 64, eventCount, eventGapMs };
  for (const version of versions) {
    await startWorker({ ...engine, version, id: `i-p-${version}`, stage: 'prefill' });
    for (let number = 1; number <= decodersPerVersion; number += 1) {
      await startWorker({ ...engine, version, id: `i-d${number}-${version}`, stage: 'decode' });
    }
  }
  const routers = await startRouters(routerCount);
  await delay(4_000);

  let backAtMs = 0;
  let isOver = false;
  const begun = [];
  const takenUp = [];
  const isInTouch = (atMs) => atMs < backAtMs - contactMs || atMs >= backAtMs + contactMs;

  function sendStream(number, sendNumber, untilMs, headers = {}) {
    return send(routers[sendNumber % routerCount], {
      path: `/summary/${number}`,
      headers: {
        'bluebellhitch-model': 'm',
        'bluebellhitch-token-count': `400,${eventCount}`,
        'bluebellhitch-prompt-prefix': `5c1e07a2:200,${number.toString(16)}:200`,
        ...headers,
      },
      body: `body of ${number}`,
      deadlineMs: Math.max(1, Math.round(untilMs - nowMs())),
    });
  }

  /** Takes up the stream and, if the router refuses, once more after the time that it states. */
  async function takeUp(number, first, untilMs) {
    const headers = { 'last-event-id': String(lastEventOf(first.body)), resumes: first.id };
    const tries = [];
    let pauseMs = takeUpMs;
    while (tries.length < 2 && pauseMs !== undefined) {
      await delay(pauseMs);
      const atMs = nowMs();
      const answer = await sendStream(number, number + tries.length + 1, untilMs, headers);
      const { status, isComplete, error } = answer;
      tries.push({ atMs, status: status ?? error, goesOn: status === 200 && isComplete });
      const retryAfter = Number(answer.headers?.['retry-after']);
      pauseMs = status === 503 && retryAfter > 0 ? retryAfter * msPerSecond : undefined;
    }
    takenUp.push({ id: first.id, tries });
  }

  async function runClient(number) {
    const atMs = nowMs();
    const untilMs = atMs + deadlineMs;
    const answer = await sendStream(number, number, untilMs);
    const { status, isComplete } = answer;
    begun.push({ atMs, begins: status === 200 });
    if (status === 200 && !isComplete) {
      await takeUp(number, answer, untilMs);
    }
  }

  const clients = [];
  const traffic = setInterval(() => {
    if (!isOver) {
      clients.push(runClient(clients.length + 1));
    }
  }, msPerSecond / streamsPerSecond);
  await delay(baselineMs);
  if (isTroubled) {
    note('all routers are killed');
    routers.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(routers.map(({ restart }) => restart()));
    backAtMs = nowMs();
    note('all routers are ready again');
  }
  await delay(afterMs);
  isOver = true;
  clearInterval(traffic);
  await Promise.all(clients);

  const judged = takenUp
    .map(({ id, tries }) => ({ id, tries: tries.filter(({ atMs }) => isInTouch(atMs)) }))
    .filter(({ tries }) => tries.length > 0);
  judged.forEach(({ id, tries }) =>
    note(`stream ${id}, taken up in touch: ${tries.map(({ status }) => status).join(', ')}`),
  );
  const wentOn = judged.filter(({ tries }) => tries.some(({ goesOn }) => goesOn)).length;
  const fresh = begun.filter(({ atMs }) => isInTouch(atMs));
  const freshShare = fresh.filter(({ begins }) => begins).length / fresh.length;
  note(
    `new streams at routers in touch: ${fresh.length}, share that begins ${freshShare.toFixed(3)}`,
  );
  note(
    `streams taken up: ${takenUp.length}; at routers in touch ${judged.length}, went on ${wentOn}`,
  );
  if (freshShare < 0.5 || (isTroubled && judged.length < minTakenUp)) {
    throw new Error('too little was served, or too few streams were taken up');
  }
  return judged.length >= minTakenUp && wentOn / judged.length < freshShare / 2;
});
