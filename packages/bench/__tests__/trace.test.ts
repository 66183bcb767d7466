import test from 'ava';
import { mixes } from '../src/traffic/mixes';
import { createTrace, isModelArrival, type ModelArrival } from '../src/traffic/trace';

const options = { seed: 7, mix: mixes['halloran-voss'], ratePerSecond: 50, durationMs: 20_000 };

function modelArrivals(seed = 7): ModelArrival[] {
  return createTrace({ ...options, seed }).filter(isModelArrival);
}

test('the same seed gives the same trace, another seed a different one', (t) => {
  t.deepEqual(createTrace(options), createTrace(options));
  t.notDeepEqual(createTrace(options), createTrace({ ...options, seed: 8 }));
});

test('arrivals are in order, within the duration and match the rate', (t) => {
  const trace = createTrace(options);
  const times = trace.map(({ atMs }) => atMs);

  t.deepEqual(
    times,
    [...times].sort((left, right) => left - right),
  );
  t.true(times.every((atMs) => atMs >= 0 && atMs < options.durationMs));
  // 1,000 arrivals of each kind are expected; 126 is four standard deviations.
  const modelCount = trace.filter(isModelArrival).length;
  t.true(Math.abs(modelCount - 1_000) < 126, String(modelCount));
  t.true(Math.abs(trace.length - modelCount - 1_000) < 126, String(trace.length));
});

test('gaps between arrivals are distributed as in a Poisson process', (t) => {
  const times = modelArrivals().map(({ atMs }) => atMs);
  const gaps = times.slice(1).map((atMs, index) => atMs - (times[index] ?? 0));
  const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
  const variance = gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / gaps.length;

  // The standard deviation of an exponential distribution equals its mean.
  t.true(Math.abs(Math.sqrt(variance) / mean - 1) < 0.15);
});

test('each prompt is unique, and many share long prefixes', (t) => {
  const arrivals = modelArrivals();
  const prompts = new Set(arrivals.map(({ prompt }) => prompt));
  const prefixes = new Map<string, string>();
  arrivals.forEach(({ prompt, sharedPrefix: { key, tokenCount } }) => {
    const text = prompt.slice(0, tokenCount * 4);
    t.is(prefixes.get(key) ?? text, text, key);
    prefixes.set(key, text);
  });

  t.is(prompts.size, arrivals.length);
  t.true(prefixes.size < arrivals.length / 2);
});

test('prompt lengths range from tens to tens of thousands of tokens', (t) => {
  const lengths = modelArrivals().map(({ promptTokens }) => promptTokens);

  t.true(Math.min(...lengths) < 100);
  t.true(Math.max(...lengths) > 10_000);
});

test('some requests are marked as not repeatable, and some are cancelled', (t) => {
  const arrivals = modelArrivals();
  const shareOf = (isCounted: (arrival: ModelArrival) => boolean) =>
    arrivals.filter(isCounted).length / arrivals.length;

  t.true(Math.abs(shareOf(({ noRepeat }) => noRepeat) - 0.1) < 0.04);
  t.true(Math.abs(shareOf(({ cancelAfterMs }) => cancelAfterMs !== undefined) - 0.03) < 0.022);
  t.is(new Set(arrivals.map(({ id }) => id)).size, arrivals.length);
});
