/**
 * Random scripts with fixed seeds. Under all faults, in any order, each request gets exactly one final
 * response, with its own text, marked keys run at most once, "not run" is true, and no memory stays held.
 * `npm run random-scripts` runs many more.
 */
import test from 'ava';
import { findFailure } from './support/randomScripts';

const seeds = [1, 2, 3];
const runsPerSeed = 12;

seeds.forEach((seed) => {
  test.serial(`random scripts of seed ${seed}`, async (t) => {
    t.timeout(120_000);
    t.is(await findFailure({ seed, runCount: runsPerSeed }), undefined);
  });
});
