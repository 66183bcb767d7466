/**
 * Four routers before eight workers of a plain service. Workers leave one after the other without having reported that
 * they drain: their entries are removed, and they serve on for the drain time and a little longer. Moments before, the
 * store cuts off the watches that wait; it answers all calls throughout.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { plainService, startDeployment } from '../lib-2/deployment.mjs';
import { smallBounds } from '../lib-2/fleet.mjs';
import { createKeptCaller } from '../lib-2/keptCaller.mjs';
import { runCase } from '../lib-2/runCase.mjs';

/** `TROUBLE=0` leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';
const routerCount = 4;
const callersPerRouter = 6;
const deadlineMs = 1_000;
const workMs = 43;
const pauseMs = 20;
/** Longer than the contact time of the bounds, so that all routers are in touch. */
const calmMs = 6_000;
/** A worker that leaves serves on for the drain time and a little longer. */
const servedOnMs = smallBounds.drain_ms + 100;
/** From the cut of the watches to the removal of an entry, one for each worker that leaves. */
const removalDelaysMs = [50, 100, 150, 50, 100];
const betweenLeaversMs = 4_000;
const workers = Array.from({ length: 8 }, (_none, index) => ({
  ...{ id: `i-bbbb000${index}`, service: plainService, workMs },
}));

async function play({ record, onEnd }) {
  const deployment = await startDeployment({ routerCount, workers, useCutter: true });
  onEnd(deployment.close);
  const { routers, store, cutter } = deployment;
  const results = [];
  const leavers = [];
  let isOver = false;
  let lastNumber = 0;

  async function runCaller({ name, ip, port }) {
    const caller = createKeptCaller({ address: `${ip}:${port}` });
    while (!isOver) {
      lastNumber += 1;
      const id = `q${lastNumber}-${name}`;
      const result = await caller.call({ path: `/balances/${lastNumber}`, id, deadlineMs });
      results.push(result);
      record(
        `${id} ended: ${result.error ?? result.status} after ${(result.endedAtMs - result.sentAtMs).toFixed(0)} ms`,
      );
      await delay(pauseMs);
    }
    caller.close();
  }

  async function leave(worker, removalDelayMs) {
    if (hasTrouble) {
      record(`the store cuts off ${cutter.cutWaiting()} watches that wait`);
    }
    await delay(removalDelayMs);
    deployment.stopHeartbeat(worker);
    store.remove('servers', worker.id);
    leavers.push({ worker, removedAtMs: Date.now() });
    record(`the store has removed the entry of ${worker.id}`);
    await delay(servedOnMs);
    record(`${worker.id} exits`);
    await worker.stop();
  }

  const callers = routers.flatMap((router) =>
    Array.from({ length: callersPerRouter }, () => runCaller(router)),
  );
  await delay(calmMs);
  for (const [index, removalDelayMs] of removalDelaysMs.entries()) {
    await Promise.all([leave(deployment.workers[index], removalDelayMs), delay(betweenLeaversMs)]);
  }
  isOver = true;
  await Promise.all(callers);

  const answeredIds = new Set(
    results.filter(({ isWhole, status }) => isWhole && status === 200).map(({ id }) => id),
  );
  const arrivals = leavers.flatMap(({ worker, removedAtMs }) =>
    worker.runs.map(({ headers, atMs }) => ({
      ...{ id: headers['bluebellhitch-request-id'], workerId: worker.id },
      afterMs: atMs - removedAtMs,
    })),
  );
  arrivals
    .filter(({ afterMs }) => afterMs > 0)
    .forEach(({ id, workerId, afterMs }) =>
      record(`${id} reached ${workerId} ${afterMs} ms after the removal of its entry`),
    );
  const late = arrivals.filter(({ afterMs }) => afterMs > smallBounds.drain_ms);
  const lost = late.filter(({ id }) => !answeredIds.has(id));
  return {
    broken: leavers.flatMap(({ worker: { id: workerId } }) => {
      const ofWorker = late.filter((arrival) => arrival.workerId === workerId);
      const lastMs = Math.max(...ofWorker.map(({ afterMs }) => afterMs));
      return ofWorker.length === 0
        ? []
        : [
            `DRAIN: ${ofWorker.length} requests reached ${workerId} later than ${smallBounds.drain_ms} ms after the removal of its entry, the last one ${lastMs} ms after it`,
          ];
    }),
    counts: [
      `${results.length} requests, ${answeredIds.size} answered with 200, ${late.length} late at workers, ${lost.length} of these run and not answered`,
    ],
  };
}

await runCase({ folder: import.meta.dirname, hasTrouble, play });
