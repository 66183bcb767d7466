import test from 'ava';
import { createLinkRates } from '../src/linkRate';
import { chooseAfterStall, chooseTransfer } from '../src/transferChoice';

const linkRates = createLinkRates({ initialRateBytesPerSecond: 1e9 });
Array.from({ length: 40 }, () =>
  linkRates.observe({ sourceId: 'slow', targetId: 't', bytes: 1e7, durationMs: 100 }),
);
const source = { kvBytes: 1e8, keptForMs: 900 };
const sources = [
  { ...source, instanceId: 'slow' },
  { ...source, instanceId: 'fast' },
];
const options = { sources, targetId: 't', linkRates, localPrefillMs: 2_000 };

test('pulls from the holder with the faster link, unless it is crowded', (t) => {
  t.like(chooseTransfer(options), { kind: 'pull', sourceId: 'fast' });
  const crowded = [
    { ...source, instanceId: 'slow', keptForMs: 9_000 },
    { ...source, instanceId: 'fast', activeTransfers: 200 },
  ];
  t.like(chooseTransfer({ ...options, sources: crowded }), { kind: 'pull', sourceId: 'slow' });
});

test('computes the prompt where it is needed if that is faster or no export lasts', (t) => {
  const cheap = { ...options, localPrefillMs: 1 };
  t.deepEqual(chooseTransfer(cheap), { kind: 'prefill-locally', cause: 'slower' });
  const brief = sources.map((held) => ({ ...held, keptForMs: 5 }));
  t.like(chooseTransfer({ ...options, sources: brief }), { cause: 'expired' });
});

test('after a stall: another holder, then computing, and nothing that ends too late', (t) => {
  const stalled = { ...options, stalledId: 'fast', stalls: 1, remainingMs: 5_000 };
  const lasting = sources.map((held) => ({ ...held, keptForMs: 9_000 }));
  t.like(chooseAfterStall({ ...stalled, sources: lasting }), { kind: 'pull', sourceId: 'slow' });
  t.is(chooseAfterStall({ ...stalled, stalls: 2 }).kind, 'prefill-locally');
  t.is(chooseAfterStall({ ...stalled, stalls: 2, remainingMs: 100 }).kind, 'give-up');
});
