import test from 'ava';
import fc from 'fast-check';
import { createLengthPredictor } from '../src/lengthPredictor';
import { fixedSeed } from './helpers/fixtures';

const key = { service: 'draft-models', className: 'standard', promptTokens: 1_000 };

test('predicts the limit until it has enough samples, then the median of similar requests', (t) => {
  const predictor = createLengthPredictor();
  t.is(predictor.predict({ ...key, maxOutputTokens: 500 }), 500);
  Array.from({ length: 21 }, (_, index) => predictor.observe(key, 100 + index));
  t.is(predictor.predict({ ...key, maxOutputTokens: 500 }), 110);
  t.is(predictor.predict({ ...key, promptTokens: 40, maxOutputTokens: 500 }), 110);
});

test('predicts a long stream from the samples that are longer still', (t) => {
  const predictor = createLengthPredictor();
  Array.from({ length: 20 }, (_, index) => predictor.observe(key, index < 15 ? 50 : 400));
  const remaining = (emittedTokens: number) =>
    predictor.predictRemaining({ ...key, maxOutputTokens: 1_000, emittedTokens });
  t.is(remaining(0), 50);
  t.is(remaining(100), 300);
  t.is(remaining(400), 100);
});

test('the remainder is never negative and never beyond the limit', (t) => {
  const lengths = fc.array(fc.integer({ min: 0, max: 3_000 }), { maxLength: 100, size: 'max' });
  const tokens = fc.integer({ min: 0, max: 2_000 });
  fc.assert(
    fc.property(lengths, tokens, tokens, (observed, emittedTokens, maxOutputTokens) => {
      const predictor = createLengthPredictor();
      observed.forEach((length) => predictor.observe(key, length));
      const remaining = predictor.predictRemaining({ ...key, maxOutputTokens, emittedTokens });
      t.true(remaining >= 0 && remaining <= Math.max(0, maxOutputTokens - emittedTokens));
    }),
    fixedSeed,
  );
});
