import fc from 'fast-check';
import test from 'ava';
import { planStageChange, type BackendServer, type Stage } from '@bluebellhitch/routing';

const engine = (id: number, stage: Stage): BackendServer => ({
  id: `e${id}`,
  name: `e${id}`,
  serviceName: 's',
  address: `10.0.0.${id}:80`,
  dataCentre: `zone-${id % 3}`,
  slots: 64,
  isDraining: false,
  softwareVersion: 'v1',
  stage,
});

test('changes terminate and keep at least one engine at each stage', (t) => {
  const stage = fc.constantFrom<Stage>('prefill', 'decode');
  fc.assert(
    fc.property(
      fc.array(stage, { minLength: 2, maxLength: 40 }),
      fc.double({ min: 0.05, max: 0.9, noNaN: true }),
      (initial, prefillShare) => {
        const engines = initial.map((first, index) => engine(index, first));
        const pending = new Map<string, Stage>();
        let change = planStageChange({ engines, pending, prefillShare });
        while (change !== undefined) {
          pending.set(change.server.id, change.stage);
          change = planStageChange({ engines, pending, prefillShare });
        }
        t.true(pending.size <= engines.length);
        const after = engines.map(({ id, stage: first }) => pending.get(id) ?? first);
        t.true(after.includes('prefill') && after.includes('decode'));
      },
    ),
    { seed: 3 },
  );
});

test('a single engine is changed to decode, never to prefill', (t) => {
  const plan = (stage: Stage) =>
    planStageChange({ engines: [engine(1, stage)], pending: new Map(), prefillShare: 0.2 });
  t.is(plan('decode'), undefined);
  t.is(plan('prefill')?.stage, 'decode');
});

test('the data centre with the most prefill engines loses one first', (t) => {
  const engines = [engine(0, 'prefill'), engine(3, 'prefill'), engine(1, 'prefill')];
  const decode = [2, 4, 5, 6, 7, 8, 9].map((id) => engine(id, 'decode'));
  const change = planStageChange({
    engines: [...engines, ...decode],
    pending: new Map(),
    prefillShare: 0.2,
  });
  t.is(change?.server.dataCentre, 'zone-0');
  t.is(change?.stage, 'decode');
});
