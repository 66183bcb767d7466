import test from 'ava';
import { goodputEngine, stretchedEngine } from '../src/experiments/goodput';
import { scaleEngine } from '../src/fleet/timeScale';

// Agents predict transfers by the rate of 4 GB/s that they take their links to have. With a link of half of
// that in a stretched fleet each transfer takes twice as long as predicted: prompts are let in whose first
// token then comes late, and the figures blame the policy.
test('a stretched fleet keeps the rate of its links and takes longer for its transfers', (t) => {
  const timeScale = 4;
  const engine = scaleEngine(stretchedEngine(timeScale), timeScale);
  const transferMs = ({ kvBytesPerToken, linkBytesPerSecond }: typeof engine) =>
    (1_000 * kvBytesPerToken) / linkBytesPerSecond;
  t.is(engine.linkBytesPerSecond, goodputEngine.linkBytesPerSecond);
  t.is(transferMs(engine), timeScale * transferMs(goodputEngine));
  t.is(
    engine.capacityKvBytes / engine.kvBytesPerToken,
    goodputEngine.capacityKvBytes / goodputEngine.kvBytesPerToken,
  );
});
