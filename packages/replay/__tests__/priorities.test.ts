import { readFileSync } from 'node:fs';
import test from 'ava';
import {
  addFigures,
  mechanisms,
  parsePattern,
  runReplay,
  type LoadPattern,
  type Mechanism,
} from '@bluebellhitch/replay';

const pattern = parsePattern(
  readFileSync(new URL('../patterns/priorities.yaml', import.meta.url), 'utf8'),
)._unsafeUnwrap();

async function replay(replayed: LoadPattern, absent: readonly Mechanism[] = []) {
  // Sequential, because replays share the process's fake clock.
  const first = await runReplay({ pattern: replayed, seed: 1, absent });
  const second = await runReplay({ pattern: replayed, seed: 2, absent });
  return addFigures([first, second]);
}

test.serial('engines that know the priorities preempt fewer streams in an overload', async (t) => {
  // Guards against urgent streams that pause for the memory of less urgent ones. An engine that knows no priorities
  // preempts its newest stream.
  const told = await replay(pattern);
  const untold = await replay(pattern, [mechanisms.engineUrgency]);
  t.true(told.preempted < untold.preempted);
  t.true(told.readInVainTokens < untold.readInVainTokens);
  t.true(told.outcomes['on-time'] > untold.outcomes['on-time']);
  t.true(told.outcomes.late < untold.outcomes.late);
});

test.serial('with equal priorities engines are told nothing', async (t) => {
  const kinds = pattern.kinds.map((kind) => ({ ...kind, priority: 1 }));
  const equal = { ...pattern, kinds, seconds: 12 };
  const told = await runReplay({ pattern: equal, seed: 1 });
  const untold = await runReplay({ pattern: equal, seed: 1, absent: [mechanisms.engineUrgency] });
  t.deepEqual(told, untold);
});
