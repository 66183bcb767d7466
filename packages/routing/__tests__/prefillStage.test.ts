import type { Clock } from '@sinonjs/fake-timers';
import { delay } from '@bluebellhitch/shared';
import { createPrefillStage, type Prompt } from '../src/request/prefillStage';
import { decodeServer } from './support/decodeServer';
import { testWithFakeClock } from './support/fakeClockTest';

const promptTokens = 1_000;
const quickMs = 4;

/** One prefill engine that nothing else uses, and one decode engine; prompts come one after the other. */
function createFixture(clock: Clock) {
  const prefillServer = { ...decodeServer('p1'), stage: 'prefill' as const };
  let tookMs = quickMs;
  const deps = {
    backend: {
      async prefill() {
        await delay(tookMs);
        return { kind: 'done', value: { handle: 'h', server: prefillServer, tokens: 1 } };
      },
    },
    pools: { usable: () => [prefillServer] },
    engineLoads: {
      isUnresponsive: () => false,
      prefillBacklogTokens: () => 0,
      localPrefillCount: () => 0,
      beginPrefill: () => () => undefined,
      noteContact: () => undefined,
    },
    health: { ejected: () => new Set(), record: () => undefined },
    metrics: { countPrefillChoice: () => undefined, countPrefillTokens: () => undefined },
    limits: { mayTake: () => true, take: () => undefined },
    budget: { reserve: () => ({ use: () => undefined, release: () => undefined }) },
    speeds: {
      of: () => ({
        observe: () => undefined,
        estimate: () => undefined,
        typical: () => undefined,
      }),
    },
    random: () => 0,
  };
  const stage = createPrefillStage(deps as unknown as Parameters<typeof createPrefillStage>[0]);

  function prompt(): Prompt {
    const nowMs = performance.now();
    const state = {
      service: { name: 's' },
      route: { targetLatencyMs: 900, targetGapMs: 300 },
      request: { arrivedAtMs: nowMs },
      endsAtMs: nowMs + 3_000,
      failedServerIds: new Set(),
      isAccessGranted: () => true,
      heldBackMs: () => undefined,
      trail: [],
    };
    const { signal } = new AbortController();
    return { state, promptTokens, decodeServer: decodeServer('d1'), signal } as unknown as Prompt;
  }

  /** Returns how many of the prompts the prefill engine has prefilled. */
  async function run(count: number, eachMs: number): Promise<number> {
    tookMs = eachMs;
    let atEngine = 0;
    for (let done = 0; done < count; done += 1) {
      const outcome = stage.run(prompt());
      await clock.tickAsync(eachMs);
      atEngine += (await outcome).kind === 'done' ? 1 : 0;
    }
    return atEngine;
  }

  return { run };
}

testWithFakeClock(
  'a prefill engine is used again after it was slow for a moment',
  async (t, clock) => {
    // Guards against a delay that nothing measures again: all prompts went to the decode engines because of it, whose
    // streams paused, and no prompt could show that the prefill engine was quick again.
    const { run } = createFixture(clock);
    t.is(await run(10, quickMs), 10);
    t.true((await run(10, 60)) < 10, 'prompts avoid the slow engine');
    t.true((await run(50, quickMs)) > 0, 'one of them finds that it is quick again');
    t.is(await run(50, quickMs), 50);
  },
);

testWithFakeClock('few prompts go to a prefill engine that stays slow', async (t, clock) => {
  const { run } = createFixture(clock);
  await run(10, quickMs);
  await run(10, 60);
  const atEngine = await run(100, 60);
  t.true(atEngine > 0 && atEngine <= 20, `${atEngine}`);
});
