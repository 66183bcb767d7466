import test from 'ava';
import { goodputEngine, scaleGoodputEngine } from '../src/experiments/goodput';
import { scaleEngine } from '../src/fleet/timeScale';

// Agents predict transfer times from an assumed link rate of 4 GB/s. If a fleet with scaled times had links of half
// that rate, each transfer would take twice as long as predicted: prompts would be admitted whose first token is then
// late, and the figures would show this as a weakness of the policy.
test('a fleet with scaled times keeps its link rate and takes longer for transfers', (t) => {
  const timeScale = 4;
  const engine = scaleEngine(scaleGoodputEngine(timeScale), timeScale);
  const transferMs = ({ kvBytesPerToken, linkBytesPerSecond }: typeof engine) =>
    (1_000 * kvBytesPerToken) / linkBytesPerSecond;
  t.is(engine.linkBytesPerSecond, goodputEngine.linkBytesPerSecond);
  t.is(transferMs(engine), timeScale * transferMs(goodputEngine));
  t.is(
    engine.capacityKvBytes / engine.kvBytesPerToken,
    goodputEngine.capacityKvBytes / goodputEngine.kvBytesPerToken,
  );
});
