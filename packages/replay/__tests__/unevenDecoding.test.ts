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
  readFileSync(new URL('../patterns/unevenDecoding.yaml', import.meta.url), 'utf8'),
)._unsafeUnwrap();

async function replay(over: Partial<LoadPattern>, absent: readonly Mechanism[] = []) {
  const all = [];
  for (const seed of [1, 2]) {
    all.push(await runReplay({ pattern: { ...pattern, ...over }, seed, absent }));
  }
  return addFigures(all);
}

test.serial(
  'fewer streams pause or break where the pace of uneven engines is learned',
  async (t) => {
    // Guards against giving an engine that is seven times as slow as many streams as its memory takes.
    const learned = await replay({});
    const unknown = await replay({}, [mechanisms.learnedPaces]);
    const badCount = ({ outcomes }: typeof learned) => outcomes.late + outcomes.failed;
    t.log(learned.outcomes, unknown.outcomes);
    t.true(badCount(learned) < badCount(unknown), `${badCount(learned)}, ${badCount(unknown)}`);
  },
);

test.serial('where engines are even, everything is as without their paces', async (t) => {
  const even = { engines: { ...pattern.engines, slowness: [1] }, routers: 4 };
  t.deepEqual(await replay(even), await replay(even, [mechanisms.learnedPaces]));
});
