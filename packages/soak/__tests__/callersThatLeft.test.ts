/**
 * Requests that reach backend servers after their callers have left, at routers that got no processor time meanwhile.
 * The routers are processes: the order in which the runtime reads from its sockets is a part of the failure.
 */
import test, { type ExecutionContext } from 'ava';
import type { Work } from '@bluebellhitch/platform-standins';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import { startHeldUpRouters, whileStopped, type HeldUpRouters } from './support/heldUpRouters';
import { leaveKinds, startRawCaller, type LeaveKind, type RawCaller } from './support/rawCaller';
import { startRunTurns, type RunTurns } from './support/runTurns';

/** A request may reach a server this long after its caller has left. */
const graceMs = 500;
/** More than a few requests that do so break the promise. */
const fewRequests = 3;
const patienceMs = 300;
const stoppedMs = 1_100;
const settleMs = 1_500;
/** Work that goes on for longer is not followed any further. */
const lateWorkMs = 3_000;
const callerCount = 30;
/** Share of the time in which a router that is short of processor time can run. */
const throttle = { runMs: 24, periodMs: 100 };
const beginTimeoutMs = 40_000;
const plainServers = Array.from({ length: 3 }, () => ({ workMs: 20 }));
const engines = [
  ...Array.from({ length: 2 }, () => ({ stage: 'prefill' as const })),
  ...Array.from({ length: 3 }, () => ({
    stage: 'decode' as const,
    eventCount: 60,
    eventGapMs: 50,
  })),
];
const lastingEngines = engines.map((engine) =>
  engine.stage === 'decode' ? { ...engine, eventCount: 2_000 } : engine,
);
/** In the last eighth of the time-out of a first attempt, which is two fifths of the deadline. */
const beforeAttemptTimeoutMs = 750;

let requestCount = 0;

function plainRequest(path = '/safe/') {
  requestCount += 1;
  return { id: `g${requestCount}`, target: `${path}${requestCount}`, deadlineMs: 1_000 };
}

function streamRequest() {
  return { ...plainRequest('/resumed/'), deadlineMs: 4_000, promptTokens: 1_000 };
}

async function connectCallers(
  { routers, departures }: HeldUpRouters,
  count = callerCount,
): Promise<RawCaller[]> {
  const address = routers[0]?.callersAddress ?? '';
  const callers = Array.from({ length: count }, () => startRawCaller(address, departures));
  await Promise.all(callers.map(({ connected }) => connected));
  return callers;
}

interface LateWork {
  late: readonly Work[];
  leftAtMs: number;
  checkedAfterMs: number;
  turns: RunTurns;
}

/** Tells when the servers stopped after all, and what the router could do until then. */
async function logLateWork(
  t: ExecutionContext,
  { late, leftAtMs, checkedAfterMs, turns }: LateWork,
): Promise<void> {
  await delay(lateWorkMs);
  const ends = late.map(({ endedAtMs }) => Math.round(endedAtMs - leftAtMs));
  t.log(`checked after ${checkedAfterMs} ms; ended after ${ends.join(', ')} ms`);
  t.log(`turns: ${turns.describe(leftAtMs)}`);
}

/** Ends all callers while the first router is stopped. */
async function leaveWhileStopped(
  { routers: [router] }: HeldUpRouters,
  how: LeaveKind,
  connect: () => Promise<RawCaller[]>,
): Promise<void> {
  await whileStopped(router as HeldUpRouters['routers'][number], async () => {
    const callers = await connect();
    await delay(patienceMs);
    callers.forEach((caller) => caller.leave(how));
    await delay(stoppedMs - patienceMs);
  });
  await delay(settleMs);
}

leaveKinds.forEach((how) => {
  test.serial(
    `requests on new connections are not sent after a ${how} that came while the router was stopped`,
    async (t) => {
      const fleet = await startHeldUpRouters(t, 3, plainServers);
      await leaveWhileStopped(fleet, how, async () => {
        const callers = await connectCallers(fleet);
        callers.forEach((caller) => caller.send(plainRequest()));
        return callers;
      });
      const late = fleet.departures.lateArrivals(graceMs);
      t.true(late.length <= fewRequests, `${late.length} of ${callerCount} reached servers late`);
    },
  );

  test.serial(
    `requests on kept connections are not sent after a ${how} that came while the router was stopped`,
    async (t) => {
      const fleet = await startHeldUpRouters(t, 3, plainServers);
      const callers = await connectCallers(fleet);
      callers.forEach((caller) => caller.send(plainRequest()));
      await Promise.all(callers.map((caller) => caller.answered(1)));
      await leaveWhileStopped(fleet, how, async () => {
        callers.forEach((caller) => caller.send(plainRequest('/unsafe/')));
        return callers;
      });
      const late = fleet.departures.lateArrivals(graceMs);
      t.true(late.length <= fewRequests, `${late.length} of ${callerCount} reached servers late`);
    },
  );
});

test.serial('pipelined requests are not sent after their caller has left', async (t) => {
  const fleet = await startHeldUpRouters(t, 3, plainServers);
  await leaveWhileStopped(fleet, 'close', async () => {
    const callers = await connectCallers(fleet);
    callers.forEach((caller) => caller.send(plainRequest(), plainRequest(), plainRequest()));
    return callers;
  });
  const late = fleet.departures.lateArrivals(graceMs);
  t.true(late.length <= fewRequests, `${late.length} of ${3 * callerCount} reached servers late`);
});

test.serial(
  'engines reserve nothing for streams whose caller left while the router was stopped',
  async (t) => {
    const fleet = await startHeldUpRouters(t, 3, [...plainServers, ...engines]);
    const countReservations = () =>
      fleet.workers.flatMap(({ calls }) => calls).filter(({ path }) => path === '/hold-take')
        .length;
    const countBefore = countReservations();
    await leaveWhileStopped(fleet, 'close', async () => {
      const callers = await connectCallers(fleet);
      callers.forEach((caller) => caller.send(streamRequest()));
      return callers;
    });
    const reservations = countReservations() - countBefore;
    t.true(reservations <= fewRequests, `${reservations} reservations for ${callerCount} streams`);
  },
);

test.serial(
  'a second server is not tried if the caller left while the first one was waited for and the router was stopped',
  async (t) => {
    // The attempt's time-out ends with the stop, and the runtime serves timers that are due before it reads.
    const fleet = await startHeldUpRouters(t, 3, plainServers);
    fleet.workers.forEach(({ script }) =>
      script.push(...Array.from({ length: callerCount }, () => ({ kind: 'hang' as const }))),
    );
    const callers = await connectCallers(fleet);
    callers.forEach((caller) => caller.send({ ...plainRequest(), deadlineMs: 2_000 }));
    await delay(beforeAttemptTimeoutMs);
    await leaveWhileStopped(fleet, 'close', async () => callers);
    const late = fleet.departures.lateArrivals(graceMs);
    t.true(late.length <= fewRequests, `${late.length} of ${callerCount} reached servers late`);
  },
);

test.serial(
  'servers stop working for callers that have left a router that is short of processor time',
  async (t) => {
    // A router that reads the ends of connections behind other work, or acts on them late, lets their streams run on.
    t.timeout(180_000);
    const fleet = await startHeldUpRouters(t, 3, [...plainServers, ...lastingEngines]);
    const { departures } = fleet;
    const router = fleet.routers[0] as HeldUpRouters['routers'][number];
    const before = new Set(departures.workInProgress());
    const turns = startRunTurns(router, throttle);
    const callers = await connectCallers(fleet);
    callers.forEach((caller) => caller.send({ ...streamRequest(), deadlineMs: 60_000 }));
    const running = () =>
      departures.workInProgress().filter((work) => !work.isPrefill && !before.has(work));
    const beginsByMs = monotonicNowMs() + beginTimeoutMs;
    let left = running();
    while (left.length <= callerCount / 2 && monotonicNowMs() < beginsByMs) {
      await turns.nextStop();
      left = running();
    }
    callers.forEach((caller) => caller.leave('close'));
    const leftAtMs = monotonicNowMs();
    // On a busy machine the router gets less than its share: half a second of it has passed once it could run for so long.
    await turns.untilGranted((graceMs * throttle.runMs) / throttle.periodMs);
    await delay(Math.max(0, leftAtMs + graceMs - monotonicNowMs()));
    const stillRunning = new Set(departures.workInProgress());
    const late = left.filter((work) => stillRunning.has(work));
    const checkedAfterMs = Math.round(monotonicNowMs() - leftAtMs);
    if (late.length > 0) {
      await logLateWork(t, { late, leftAtMs, checkedAfterMs, turns });
    }
    await turns.end();
    // Otherwise the test proves nothing.
    t.true(left.length > callerCount / 2, `${left.length} of ${callerCount} run`);
    t.true(late.length <= left.length / 4, `${late.length} of ${left.length} ran on`);
  },
);

[4, 24].forEach((routerCount) => {
  test.serial(
    `one of ${routerCount} routers that is short of processor time serves callers that wait, not those that have left`,
    async (t) => {
      t.timeout(120_000);
      const fleet = await startHeldUpRouters(t, routerCount, plainServers);
      const [router] = fleet.routers;
      const endThrottle = router?.starve(throttle);
      const all: RawCaller[] = [];
      for (let round = 0; round < 600; round += 1) {
        const callers = Array.from({ length: 8 }, () =>
          startRawCaller(router?.callersAddress ?? '', fleet.departures),
        );
        callers.forEach((caller) => {
          caller.connected.catch(() => undefined);
          caller.send(plainRequest());
          setTimeout(() => caller.leave('close'), patienceMs);
        });
        all.push(...callers);
        await delay(10);
      }
      await delay(4_000);
      await endThrottle?.();
      const late = fleet.departures.lateArrivals(graceMs);
      const answered = all.filter((caller) => caller.answerCount() > 0).length;
      const latestMs = Math.max(0, ...late.map(({ lateMs }) => lateMs));
      t.log(
        `${answered} of ${all.length} answered, ${late.length} late, up to ${Math.round(latestMs)} ms`,
      );
      t.true(late.length <= fewRequests, `${late.length} of ${all.length} reached servers late`);
    },
  );
});
