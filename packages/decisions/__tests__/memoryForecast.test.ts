import test from 'ava';
import { createMemoryForecast, survivalProbability } from '@bluebellhitch/decisions';
import type { StreamEstimate } from '@bluebellhitch/protocol';

const stream = (overrides: Partial<StreamEstimate> = {}): StreamEstimate => ({
  promptTokens: 5_000,
  emittedTokens: 0,
  medianOutputTokens: 4_000,
  ...overrides,
});

const forecastOf = (streams: StreamEstimate[], marginDeviations = 0) =>
  createMemoryForecast({ streams, capacityTokens: 100_000, lengthShape: 5, marginDeviations });

test('an engine without streams is free except for unaccounted tokens', (t) => {
  const forecast = createMemoryForecast({
    streams: [],
    otherTokens: 3_000,
    capacityTokens: 10_000,
    lengthShape: 5,
    marginDeviations: 2,
  });
  t.is(forecast.freeTokens(), 7_000);
});

test('streams that began together need more than streams at different stages', (t) => {
  // Ten new streams hold 50,000 tokens, and will hold a third more before the first of them end. Ten streams at
  // different stages end one after the other, so they never hold more than now.
  const together = Array.from({ length: 10 }, () => stream());
  const spread = together.map((one, index) => ({ ...one, emittedTokens: index * 400 }));
  t.true(forecastOf(together).freeTokens() < 35_000);
  t.is(forecastOf(spread).freeTokens(), 32_000);
});

test('one more stream lowers the forecast by the same amount when asked about and when added', (t) => {
  const forecast = forecastOf([stream()]);
  const expected = forecast.freeTokensWith(stream());
  t.true(expected < forecast.freeTokens() - 5_000);
  forecast.add(stream());
  t.is(forecast.freeTokens(), expected);
});

test('the margin keeps more memory free, and more so the wider the lengths scatter', (t) => {
  const streams = Array.from({ length: 6 }, () => stream());
  const free = (lengthShape: number, marginDeviations: number) =>
    createMemoryForecast({
      streams,
      capacityTokens: 100_000,
      lengthShape,
      marginDeviations,
    }).freeTokens();
  t.true(free(5, 2) < free(5, 1));
  t.true(free(5, 0) - free(5, 2) < free(2, 0) - free(2, 2));
});

test('streams without expected output count with their current memory', (t) => {
  const still = stream({ medianOutputTokens: 0 });
  t.is(forecastOf([still, still], 2).freeTokens(), 90_000);
});

test('half of the streams exceed their median; one that has exceeded it is likely to continue', (t) => {
  t.is(survivalProbability(stream(), 0, 5), 1);
  t.is(survivalProbability(stream(), 4_000, 5), 0.5);
  t.true(survivalProbability(stream({ emittedTokens: 8_000 }), 1_000, 5) > 0.5);
});
