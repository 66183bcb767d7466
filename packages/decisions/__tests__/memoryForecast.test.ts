import test from 'ava';
import { createMemoryForecast, survival } from '@bluebellhitch/decisions';
import type { StreamOutlook } from '@bluebellhitch/protocol';

const stream = (over: Partial<StreamOutlook> = {}): StreamOutlook => ({
  promptTokens: 5_000,
  emittedTokens: 0,
  medianOutputTokens: 4_000,
  ...over,
});

const forecastOf = (streams: StreamOutlook[], caution = 0) =>
  createMemoryForecast({ streams, capacityTokens: 100_000, lengthShape: 5, caution });

test('an engine without streams is free but for what is not explained', (t) => {
  const forecast = createMemoryForecast({
    streams: [],
    otherTokens: 3_000,
    capacityTokens: 10_000,
    lengthShape: 5,
    caution: 2,
  });
  t.is(forecast.freeTokens(), 7_000);
});

test('streams that began together need more than those spread over their lives', (t) => {
  // Ten streams that begin hold 50,000 tokens and will hold a third more before the first of them end. Ten at all
  // stages end and free their memory one after the other: they never hold more than now.
  const together = Array.from({ length: 10 }, () => stream());
  const spread = together.map((one, index) => ({ ...one, emittedTokens: index * 400 }));
  t.true(forecastOf(together).freeTokens() < 35_000);
  t.is(forecastOf(spread).freeTokens(), 32_000);
});

test('what one more stream needs is taken off, and stays off once it is added', (t) => {
  const forecast = forecastOf([stream()]);
  const expected = forecast.freeTokensWith(stream());
  t.true(expected < forecast.freeTokens() - 5_000);
  forecast.add(stream());
  t.is(forecast.freeTokens(), expected);
});

test('caution keeps more free, and the more so the less is known of the lengths', (t) => {
  const streams = Array.from({ length: 6 }, () => stream());
  const free = (lengthShape: number, caution: number) =>
    createMemoryForecast({ streams, capacityTokens: 100_000, lengthShape, caution }).freeTokens();
  t.true(free(5, 2) < free(5, 1));
  t.true(free(5, 0) - free(5, 2) < free(2, 0) - free(2, 2));
});

test('streams without any output to come are counted as they are', (t) => {
  const still = stream({ medianOutputTokens: 0 });
  t.is(forecastOf([still, still], 2).freeTokens(), 90_000);
});

test('half of the streams outlive their median; one that has outlived it is likely to go on', (t) => {
  t.is(survival(stream(), 0, 5), 1);
  t.is(survival(stream(), 4_000, 5), 0.5);
  t.true(survival(stream({ emittedTokens: 8_000 }), 1_000, 5) > 0.5);
});
