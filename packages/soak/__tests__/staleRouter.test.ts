/**
 * A router whose view is stale for seconds while servers of a new software version join: its process is stopped, or it cannot
 * reach the store. Streams that have begun at the others are resumed at it, and may continue only at their own version.
 */
import test, { type ExecutionContext } from 'ava';
import { callRouter, type CallerResponse } from '@bluebellhitch/platform-standins';
import { delay } from '@bluebellhitch/shared';
import { callersHost } from '../src/configurationPlan';
import { lastEventId } from '../src/streamVersionChecks';
import {
  startHeldUpRouters,
  type HeldUpRouters,
  type WorkerOptions,
} from './support/heldUpRouters';

type Router = HeldUpRouters['routers'][number];

interface StaleRouterCase {
  name: string;
  routerCount?: number;
  isolate: (router: Router) => void;
  reconnect: (router: Router) => void;
  /** Callers return so long before the router is reconnected. */
  returnEarlyMs: number;
  /** What happens to the others once the streams have begun. */
  disturb: (others: readonly Router[]) => Promise<unknown> | void;
  /** The versions that join, one after the other. */
  joining: readonly string[];
}

interface BegunStream {
  id: string;
  response: CallerResponse;
}

const firstVersion = 'v1';
const versions = [firstVersion, 'v2', 'v3'];
const streamsPerRound = 24;
const maxRounds = 4;
/** Fewer streams of new versions prove nothing. */
const minNewStreams = 6;
const joinMs = 700;
const deadlineMs = 9_000;
const okStatus = 200;

function enginesOf(softwareVersion: string): WorkerOptions[] {
  const engine = { softwareVersion, textOf: () => `by ${softwareVersion}` };
  const decode = { ...engine, stage: 'decode' as const, eventCount: 60, eventGapMs: 25 };
  return [{ ...engine, stage: 'prefill' }, decode, decode];
}

function versionsIn({ body }: CallerResponse): string[] {
  return versions.filter((version) => body.includes(`by ${version}\n`));
}

/** Begins a stream, and breaks it off after its first events. */
async function beginStream(router: Router, id: string): Promise<BegunStream[]> {
  const brokenOff = new AbortController();
  const outcome = await callRouter({
    ...{ address: router.callersAddress, host: callersHost, target: `/resumed/${id}` },
    ...{ requestId: id, deadlineMs, signal: brokenOff.signal },
    prompt: { promptTokens: 1_000, maxOutputTokens: 100 },
    onData: () => setTimeout(() => brokenOff.abort(), 60),
  });
  const hasEvents = outcome.kind === 'answered' && lastEventId(outcome.response.body) > 0;
  return hasEvents ? [{ id, response: outcome.response }] : [];
}

/** Begins streams until enough of them are of new versions, which the routers choose. */
async function beginStreams(others: readonly Router[]): Promise<BegunStream[]> {
  const begun: BegunStream[] = [];
  for (let round = 0; round < maxRounds && begun.filter(isNew).length < minNewStreams; round += 1) {
    const streams = await Promise.all(
      Array.from({ length: streamsPerRound }, (_none, index) =>
        beginStream(others[index % others.length] as Router, `stream-${round}-${index}`),
      ),
    );
    begun.push(...streams.flat());
  }
  return begun;
}

function isNew({ response }: BegunStream): boolean {
  return !versionsIn(response).includes(firstVersion);
}

function resumeStream(router: Router, { id, response }: BegunStream) {
  return callRouter({
    ...{ address: router.callersAddress, host: callersHost, target: `/resumed/${id}` },
    ...{ requestId: `${id}-again`, deadlineMs },
    prompt: { promptTokens: 1_000, maxOutputTokens: 100 },
    headers: { 'last-event-id': `${lastEventId(response.body)}`, resumes: id },
  });
}

async function playCase(t: ExecutionContext, staleCase: StaleRouterCase): Promise<void> {
  const { routerCount = 4, joining } = staleCase;
  const plainServer = {};
  const fleet = await startHeldUpRouters(t, routerCount, [plainServer, ...enginesOf(firstVersion)]);
  const [router, ...others] = fleet.routers as [Router, ...Router[]];
  staleCase.isolate(router);
  for (const version of joining) {
    await Promise.all(enginesOf(version).map(fleet.startWorker));
    await delay(joinMs);
  }
  const begun = await beginStreams(others);
  await staleCase.disturb(others);
  const resumptions = begun.map((stream) => resumeStream(router, stream));
  await delay(staleCase.returnEarlyMs);
  staleCase.reconnect(router);
  const outcomes = await Promise.all(resumptions);
  const ends = begun.map(({ response }, index) => {
    const outcome = outcomes[index];
    const resumed = outcome?.kind === 'answered' ? outcome.response : undefined;
    return {
      begunAt: versionsIn(response),
      continuedAt: resumed?.status === okStatus ? versionsIn(resumed) : [],
    };
  });
  const newStreams = ends.filter(({ begunAt }) => !begunAt.includes(firstVersion));
  const continued = ends.filter(({ continuedAt }) => continuedAt.length > 0);
  const newContinued = continued.filter((end) => newStreams.includes(end));
  t.log(
    `${continued.length} of ${ends.length} continued, ${newContinued.length} of ${newStreams.length} of new versions`,
  );
  t.true(newStreams.length >= minNewStreams, `${newStreams.length} began at new versions`);
  continued.forEach(({ begunAt, continuedAt }) => t.deepEqual(continuedAt, begunAt));
}

const stopped = {
  isolate: (router: Router) => router.freeze(),
  reconnect: (router: Router) => router.resume(),
  returnEarlyMs: 300,
};
const withoutStore = {
  isolate: (router: Router) => router.storeLink.setFault({ kind: 'silent' }),
  reconnect: (router: Router) => router.storeLink.setFault({ kind: 'none' }),
  // Longer than the router asks the others and the store.
  returnEarlyMs: 1_500,
};

/** So many that most streams are announced to other routers only, which the stale one has to ask. */
const manyRouters = 8;
const killAll = (others: readonly Router[]) => Promise.all(others.map(({ kill }) => kill()));
const freezeAll = (others: readonly Router[]) => others.forEach(({ freeze }) => freeze());

const cases: StaleRouterCase[] = [
  { name: 'is stopped', ...stopped, disturb: () => undefined, joining: ['v2'] },
  {
    name: 'is stopped, the others are killed',
    ...{ ...stopped, disturb: killAll, routerCount: manyRouters, joining: ['v2'] },
  },
  {
    name: 'is stopped, the others do not answer it',
    ...{ ...stopped, disturb: freezeAll, routerCount: manyRouters, joining: ['v2'] },
  },
  {
    name: 'is stopped over two releases, the others do not answer it',
    ...{ ...stopped, disturb: freezeAll, joining: ['v2', 'v3'] },
  },
  {
    name: 'cannot reach the store',
    ...{ ...withoutStore, disturb: () => undefined, joining: ['v2'] },
  },
  {
    name: 'cannot reach the store, the others do not answer it',
    ...{ ...withoutStore, disturb: freezeAll, joining: ['v2'] },
  },
];

cases.forEach((staleCase) => {
  test.serial(
    `streams continue at their own version at a router that ${staleCase.name}`,
    async (t) => {
      // It knows only the version of before, and takes that for the one that has begun the stream.
      t.timeout(90_000);
      await playCase(t, staleCase);
    },
  );
});
