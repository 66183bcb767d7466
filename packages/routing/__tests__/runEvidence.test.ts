import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import test from 'ava';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendServer } from '../src/model';
import { createRunEvidence, type CarriedCall, type RunEvidence } from '../src/fleet/runEvidence';

interface Trial {
  evidence: RunEvidence;
  clock: Clock;
  /** Parts that were struck or cleared, and requests that completed, in order. */
  struck: string[];
  sound: string[];
  completed: string[];
  /** Servers that were asked for a sign, and parts against which crashes count. */
  asked: string[];
  suspected: Set<string>;
}

async function withEvidence(check: (trial: Trial) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install();
  const trial = {
    clock,
    struck: [] as string[],
    sound: [] as string[],
    completed: [] as string[],
    asked: [] as string[],
    suspected: new Set<string>(),
  };
  const ignore = () => undefined;
  const evidence = createRunEvidence({
    strike({ identity }) {
      trial.struck.push(identity.fingerprint(), ...identity.partFingerprints);
      return true;
    },
    noteSoundPart: (part) => trial.sound.push(part),
    isSuspected: (part) => trial.suspected.has(part),
    async isRunning({ id }) {
      trial.asked.push(id);
      return id !== 'ended';
    },
    noteCompleted: ({ fingerprint }) => trial.completed.push(fingerprint()),
    onCrash: ignore,
    logger: { debug: ignore, info: ignore, warn: ignore, error: ignore },
  });
  try {
    await check({ ...trial, evidence });
  } finally {
    clock.uninstall();
  }
}

function callAt(serverId: string, name: string): CarriedCall {
  return {
    identity: { fingerprint: () => name, partFingerprints: [`${name}-part`] },
    requestId: name,
    server: { id: serverId } as BackendServer,
    startedAtMs: monotonicNowMs(),
  };
}

test.serial('a part is sound once its engine still writes some time after it began', (t) =>
  withEvidence(async ({ evidence, clock, sound, completed }) => {
    const run = evidence.observeRun(callAt('s1', 'a'));
    run.noteEvent();
    await clock.tickAsync(900);
    run.noteEvent();
    await clock.tickAsync(900);
    t.deepEqual(sound, []);
    run.noteEvent();
    await clock.tickAsync(600);
    t.deepEqual(sound, ['a-part']);
    t.deepEqual(completed, []);
    run.noteCompleted();
    t.deepEqual(completed, ['a']);
  }),
);

test.serial('a short answer clears its parts once its engine writes another one later', (t) =>
  // A run that ends its engine may be complete before.
  withEvidence(async ({ evidence, clock, sound, completed }) => {
    const short = evidence.observeRun(callAt('s1', 'short'));
    short.noteEvent();
    short.noteCompleted();
    await clock.tickAsync(5_000);
    t.deepEqual(sound, []);
    evidence.observeRun(callAt('s1', 'next')).noteEvent();
    await clock.tickAsync(600);
    t.deepEqual(sound, ['short-part']);
    t.deepEqual(completed, ['short']);
  }),
);

test.serial('a complete answer is suspected if its engine ends soon after it began', (t) =>
  withEvidence(async ({ evidence, clock, struck, completed }) => {
    const short = evidence.observeRun(callAt('s1', 'short'));
    short.noteEvent();
    short.noteCompleted();
    await clock.tickAsync(200);
    evidence.noteServerEnded('s1', monotonicNowMs());
    t.deepEqual(struck, ['short', 'short-part']);
    t.deepEqual(completed, []);
  }),
);

test.serial('of a run that had been writing for long, only the request is suspected', (t) =>
  // Most streams that a crash cuts had begun long before it.
  withEvidence(async ({ evidence, clock, struck }) => {
    const call = callAt('s1', 'long');
    const run = evidence.observeRun(call);
    run.noteEvent();
    await clock.tickAsync(1_000);
    run.noteEvent();
    await clock.tickAsync(600);
    evidence.noteCrash(call, monotonicNowMs());
    t.deepEqual(struck, ['long']);
  }),
);

test.serial(
  'events that a paused process reads together with the end of the engine clear nothing',
  (t) =>
    // The pause makes the run look as if its engine had written for long.
    withEvidence(async ({ evidence, clock, struck, sound }) => {
      const call = callAt('s1', 'harmful');
      const run = evidence.observeRun(call);
      run.noteEvent();
      await clock.tickAsync(1_200);
      run.noteEvent();
      evidence.noteServerLost('s1');
      await clock.tickAsync(700);
      evidence.noteCrash(call, monotonicNowMs());
      t.deepEqual(sound, []);
      t.deepEqual(struck, ['harmful', 'harmful-part']);
    }),
);

test.serial('an answer without events clears its request at once, and no part', (t) =>
  // An engine that only reports a failure has not written on the part.
  withEvidence(async ({ evidence, clock, sound, completed }) => {
    evidence.observeRun(callAt('s1', 'failed')).noteCompleted();
    await clock.tickAsync(5_000);
    t.deepEqual(completed, ['failed']);
    t.deepEqual(sound, []);
  }),
);

test.serial(
  'a short stream on an idle engine clears its suspected parts if the engine answers later',
  (t) =>
    // A trial of a held part is the only run with it; a stream of under a second never cleared it.
    withEvidence(async ({ evidence, clock, sound, asked, suspected }) => {
      const play = async (serverId: string, name: string) => {
        const run = evidence.observeRun(callAt(serverId, name));
        run.noteEvent();
        run.noteCompleted();
        await clock.tickAsync(1_000 + 600);
      };
      await play('s1', 'a');
      t.deepEqual([asked, sound], [[], []]);
      ['b-part', 'c-part', 'd-part'].forEach((part) => suspected.add(part));
      await play('s1', 'b');
      t.deepEqual([asked, sound], [['s1'], ['a-part', 'b-part']]);
      await play('ended', 'c');
      t.deepEqual(sound, ['a-part', 'b-part']);
      const run = evidence.observeRun(callAt('s2', 'd'));
      run.noteEvent();
      evidence.noteServerEnded('s2', monotonicNowMs());
      await clock.tickAsync(2_000);
      t.deepEqual(asked, ['s1', 'ended']);
      t.deepEqual(sound, ['a-part', 'b-part']);
    }),
);
