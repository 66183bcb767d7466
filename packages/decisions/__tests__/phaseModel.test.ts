import test from 'ava';
import { createPhaseModels, initialPhaseModel } from '../src/phaseModel';

test('starts from the initial model and learns each service separately', (t) => {
  const models = createPhaseModels();
  const observation = {
    location: 'prefill-worker',
    uncachedTokens: 1_000,
    promptTokens: 1_000,
  } as const;
  Array.from({ length: 300 }, () =>
    models.observePrefill('s', { ...observation, prefillMs: 400, kvBytes: 5e7 }),
  );
  const learned = models.model('s');
  t.true(Math.abs(learned.prefillMsPerToken['prefill-worker'] - 0.4) < 0.01);
  t.true(Math.abs(learned.kvBytesPerToken - 5e4) < 1e3);
  t.true(Math.abs(learned.averagePrefillTokens - 1_000) < 20);
  t.deepEqual(models.model('other'), initialPhaseModel);
});

test('a constant bias of the predictions counts as uncertainty', (t) => {
  const models = createPhaseModels();
  Array.from({ length: 300 }, () => {
    models.observeFirstToken('exact', 300, 300);
    models.observeFirstToken('biased', 300, 450);
  });
  t.is(models.model('exact').firstTokenDeviation, 0.05);
  t.true(models.model('biased').firstTokenDeviation > 0.45);
});
