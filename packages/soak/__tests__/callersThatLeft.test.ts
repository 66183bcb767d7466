/**
 * Requests that reach backend servers after their callers have left, at routers that got no processor time meanwhile.
 * The routers are processes: the order in which the runtime reads from its sockets is a part of the failure.
 */
import test from 'ava';
import { delay } from '@bluebellhitch/shared';
import { startHeldUpRouters, whileStopped, type HeldUpRouters } from './support/heldUpRouters';
import { startRawCaller, type LeaveKind, type RawCaller } from './support/rawCaller';

/** A request may reach a server this long after its caller has left. */
const graceMs = 500;
/** More than a few requests that do so break the promise. */
const fewRequests = 3;
const patienceMs = 300;
const stoppedMs = 1_100;
const settleMs = 1_500;
const callerCount = 30;
const plainServers = Array.from({ length: 3 }, () => ({ workMs: 20 }));

let requestCount = 0;

function plainRequest() {
  requestCount += 1;
  return { id: `g${requestCount}`, target: `/safe/${requestCount}`, deadlineMs: 1_000 };
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

test.serial(
  'requests on new connections are not sent after a close that came while the router was stopped',
  async (t) => {
    const fleet = await startHeldUpRouters(t, 3, plainServers);
    await leaveWhileStopped(fleet, 'close', async () => {
      const callers = await connectCallers(fleet);
      callers.forEach((caller) => caller.send(plainRequest()));
      return callers;
    });
    const late = fleet.departures.lateArrivals(graceMs);
    t.true(late.length <= fewRequests, `${late.length} of ${callerCount} reached servers late`);
  },
);
