import test from 'ava';
import fc from 'fast-check';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import { planOrders, unavailableLimit } from '../src/planOrders';
import { isServing, type WorkerView } from '../src/workerView';

function modelDocument(rollout: object = {}, adapters: string[] = []) {
  return serviceDocumentSchema.parse({
    apiVersion: 'bluebellhitch/v1',
    service: 'draft-models',
    institution: 'halloran-voss',
    kind: 'model',
    dataCentres: ['tacoma-hall', 'salem-hall'],
    models: [{ name: 'letters', version: '2', adapters }],
    rollout,
  });
}

function worker(index: number, changes: Partial<WorkerView> = {}, version = '1'): WorkerView {
  return {
    instanceId: `worker-${index}`,
    dataCentre: index % 2 === 0 ? 'tacoma-hall' : 'salem-hall',
    leaving: false,
    busy: false,
    deferred: false,
    state: {
      incarnation: 'a',
      role: 'decode',
      models: version === '' ? [] : [{ model: 'letters', version }],
      adapters: [],
      highestFencingNumber: 0,
      leaving: false,
    },
    ...changes,
  };
}

const workers = (count: number) => Array.from({ length: count }, (_, index) => worker(index));

test('a rollout takes a share of the workers at a time, empty ones first', (t) => {
  const document = modelDocument({ maxUnavailableShare: 0.3 });
  const plan = planOrders({ document, workers: workers(10), maxConcurrentLoads: 9 });
  t.is(plan.orders.length, 3);
  t.is(plan.waitingCount, 7);
  const withEmpty = [...workers(10), worker(10, {}, ''), worker(11, {}, '')];
  const ids = planOrders({ document, workers: withEmpty, maxConcurrentLoads: 9 }).orders;
  t.deepEqual(
    ids.map(({ instanceId }) => instanceId),
    ['worker-10', 'worker-11', 'worker-0'],
  );
});

test('workers that died, leave or are busy count against the share', (t) => {
  const document = modelDocument({ maxUnavailableShare: 0.3 });
  const some = [
    worker(0, { state: undefined }),
    worker(1, { leaving: true }),
    worker(2, { busy: true }),
  ];
  const plan = planOrders({
    document,
    workers: [...some, ...workers(10).slice(3)],
    maxConcurrentLoads: 9,
  });
  t.deepEqual(plan.orders, []);
});

test('a small service changes one worker at a time', (t) => {
  const plan = planOrders({
    document: modelDocument(),
    workers: workers(2),
    maxConcurrentLoads: 9,
  });
  t.is(plan.orders.length, 1);
});

test('loads at once are bounded, and a deferred worker gets none', (t) => {
  const fresh = Array.from({ length: 5 }, (_, index) =>
    worker(index, { deferred: index === 0 }, ''),
  );
  const plan = planOrders({ document: modelDocument(), workers: fresh, maxConcurrentLoads: 2 });
  t.deepEqual(
    plan.orders.map(({ instanceId }) => instanceId),
    ['worker-1', 'worker-2'],
  );
});

test('adapters are loaded after their model, and surplus ones are unloaded', (t) => {
  const loaded = worker(0, {}, '2');
  const surplus = worker(1, {}, '2');
  surplus.state?.adapters.push(
    { model: 'letters', adapter: 'will' },
    { model: 'letters', adapter: 'old' },
  );
  const document = modelDocument({}, ['will']);
  const plan = planOrders({ document, workers: [loaded, surplus], maxConcurrentLoads: 9 });
  t.deepEqual(
    plan.orders.map(({ order }) => order),
    [
      { kind: 'load-adapter', model: 'letters', adapter: 'will' },
      { kind: 'unload-adapter', model: 'letters', adapter: 'old' },
    ],
  );
});

test('prefill roles spread over the data centres, and one worker keeps decoding', (t) => {
  const document = modelDocument({ maxUnavailableShare: 1 });
  const ready = Array.from({ length: 6 }, (_, index) => worker(index, {}, '2'));
  const plan = planOrders({
    document,
    workers: ready,
    targetPrefillWorkers: 2,
    maxConcurrentLoads: 1,
  });
  t.deepEqual(
    plan.orders.map(({ instanceId }) => instanceId),
    ['worker-0', 'worker-1'],
  );
  const all = planOrders({
    document,
    workers: ready,
    targetPrefillWorkers: 9,
    maxConcurrentLoads: 1,
  });
  t.is(all.orders.length, 5);
});

// In every state of a service, orders that take serving workers out of service must keep to the share that the document
// allows, including workers that are out for other reasons.
test('no state of the workers makes a plan that exceeds the share', (t) => {
  const view = fc.record({
    version: fc.constantFrom('', '1', '2'),
    role: fc.constantFrom('prefill' as const, 'decode' as const, 'both' as const),
    responds: fc.boolean(),
    leaving: fc.boolean(),
    busy: fc.boolean(),
  });
  const property = fc.property(
    fc.array(view, { minLength: 1, maxLength: 30 }),
    fc.double({ min: 0.05, max: 1, noNaN: true }),
    fc.nat(10),
    (views, maxUnavailableShare, targetPrefillWorkers) => {
      const document = modelDocument({ maxUnavailableShare });
      const all = views.map(({ version, role, responds, leaving, busy }, index) => {
        const one = worker(index, { leaving, busy }, version);
        return { ...one, state: responds && one.state ? { ...one.state, role } : undefined };
      });
      const { orders } = planOrders({
        document,
        workers: all,
        targetPrefillWorkers,
        maxConcurrentLoads: 3,
      });
      const ordered = new Set(orders.map(({ instanceId }) => instanceId));
      const serving = all.filter((one) => isServing(one, document));
      const takenOut = serving.filter(({ instanceId }) => ordered.has(instanceId)).length;
      const out = all.length - serving.length + takenOut;
      return takenOut === 0 || out <= unavailableLimit(document, all.length);
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 20_261, numRuns: 2000 }));
});
