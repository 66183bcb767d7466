/**
 * Four routers are stopped with SIGTERM and started again, one after the other. Each caller keeps one connection, on which
 * it asks for a stream and, as soon as that has ended, for something that may run once only. Between callers and routers
 * lies 1 ms one way.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { engineService, plainService, startDeployment } from '../lib-2/deployment.mjs';
import { createKeptCaller } from '../lib-2/keptCaller.mjs';
import { runCase } from '../lib-2/runCase.mjs';
import { startLoopbackProxy } from '../lib-2/standins.mjs';

/** `TROUBLE=0` leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';
const routerCount = 4;
const callersPerRouter = 12;
const linkDelayMs = 1;
const streamDeadlineMs = 14_000;
const lookupDeadlineMs = 1_000;
const graceMs = 8_000;
/** The rule covers planned work until 1 s after the grace time. */
const plannedWorkMs = graceMs + 1_000;
const calmMs = 2_000;
const pauseMs = 100;
const engines = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'].map(
  (stage, index) => ({
    ...{ id: `i-aaaa000${index}`, service: engineService, stage },
    ...{ eventCount: 20, eventGapMs: 20 },
  }),
);
const plainWorkers = [0, 1, 2].map((index) => ({
  ...{ id: `i-bbbb000${index}`, service: plainService, workMs: 43 },
}));

async function play({ record, onEnd }) {
  const deployment = await startDeployment({ routerCount, workers: [...engines, ...plainWorkers] });
  onEnd(deployment.close);
  const { routers, workers } = deployment;
  const links = await Promise.all(
    routers.map(({ ip, port }) => startLoopbackProxy({ host: ip, target: `${ip}:${port}` })),
  );
  links.forEach((link) => link.setFault({ kind: 'delay', delayMs: linkDelayMs }));
  /** When each router was last told to stop. */
  const stoppedAtMs = routers.map(() => undefined);
  const results = [];
  let isOver = false;
  let lastNumber = 0;

  async function callOnce(caller, routerIndex, request) {
    lastNumber += 1;
    const id = `q${lastNumber}`;
    record(`${id} sent to ${routers[routerIndex].name}: ${request.path}`);
    const result = await caller.call({ ...request, id });
    const answer = result.error ?? `${result.status} ${result.isWhole ? 'whole' : 'cut'}`;
    record(`${id} ended: ${answer}, connection ${result.isReused ? 'kept' : 'new'}`);
    results.push({ ...result, routerIndex, isLookup: request.deadlineMs === lookupDeadlineMs });
  }

  async function runCaller(routerIndex, callerIndex) {
    const caller = createKeptCaller({ address: links[routerIndex].address });
    await delay(callerIndex * 30);
    while (!isOver) {
      await callOnce(caller, routerIndex, {
        path: `/letters/${callerIndex}`,
        deadlineMs: streamDeadlineMs,
        headers: { 'bluebellhitch-token-count': '100,20' },
      });
      await callOnce(caller, routerIndex, {
        path: `/balances/${callerIndex}`,
        deadlineMs: lookupDeadlineMs,
      });
      await delay(pauseMs);
    }
    caller.close();
  }

  async function stopAndStart(router, index) {
    stoppedAtMs[index] = performance.now();
    record(`${router.name} gets SIGTERM`);
    await router.stop();
    record(`${router.name} has ended`);
    router.start();
    await router.whenReady();
    record(`${router.name} is ready`);
  }

  const callers = routers.flatMap((_router, routerIndex) =>
    Array.from({ length: callersPerRouter }, (_none, index) => runCaller(routerIndex, index)),
  );
  await delay(calmMs);
  for (const [index, router] of routers.entries()) {
    await (hasTrouble ? stopAndStart(router, index) : delay(calmMs));
  }
  isOver = true;
  await Promise.all(callers);
  links.forEach((link) => link.close());

  const runs = new Map(
    workers.flatMap(({ id: workerId, runs: workerRuns }) =>
      workerRuns.map(({ headers }) => [headers['bluebellhitch-request-id'], workerId]),
    ),
  );
  runs.forEach((workerId, id) => record(`${id} ran at ${workerId}`));
  const isInPlannedWork = ({ routerIndex, sentAtMs }) =>
    sentAtMs >= stoppedAtMs[routerIndex] && sentAtMs <= stoppedAtMs[routerIndex] + plannedWorkMs;
  const lost = results.filter(
    (result) =>
      !result.isWhole &&
      runs.has(result.id) &&
      result.endedAtMs - result.sentAtMs < lookupDeadlineMs &&
      result.isLookup &&
      isInPlannedWork(result),
  );
  return {
    broken: lost.map(({ id, error, sentAtMs, endedAtMs, routerIndex }) => {
      const afterMs = (sentAtMs - stoppedAtMs[routerIndex]).toFixed(0);
      const tookMs = (endedAtMs - sentAtMs).toFixed(1);
      return `LOST: ${id}, sent ${afterMs} ms after the SIGTERM of ${routers[routerIndex].name}, ran at ${runs.get(id)}; its connection ended ${tookMs} ms later without an answer (${error})`;
    }),
    counts: [
      `${results.length} requests, ${results.filter(({ isWhole }) => isWhole).length} with a whole answer, ${lost.length} lost`,
    ],
  };
}

await runCase({ folder: import.meta.dirname, hasTrouble, play });
