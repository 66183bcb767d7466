/**
 * Measures the cost of a claim to the platform and to its caller at several rates:
 * `node --import=tsx --conditions=bluebell-source packages/objects/scripts/claimCost.ts`.
 * The stand-in runs in the same process and responds in 4 ms; a claim is one take and one finish.
 * `--rates 25,100,400,1600` and `--seconds 5` configure the runs; `--writers 2` lets two entries take claims.
 */
import { parseArgs } from 'node:util';
import { createHistogram } from 'node:perf_hooks';
import { createClaimStore, type ClaimStore, type PlatformApi } from '@bluebellhitch/objects';
import { createSeededRandom, delay, monotonicNowMs } from '@bluebellhitch/shared';
import { createStandinPlatform } from '@bluebellhitch/standins';

const msPerSecond = 1000;
const usPerMs = 1000;
const { values } = parseArgs({
  options: {
    rates: { type: 'string', default: '25,100,400,1600' },
    seconds: { type: 'string', default: '5' },
    writers: { type: 'string', default: '1' },
  },
});
const rates = values.rates.split(',').map(Number);
const durationMs = Number(values.seconds) * msPerSecond;
const writerCount = Number(values.writers);

let refusedCount = 0;

/** Wraps a platform to count the bytes of the values written to it. */
function countBytes(platform: PlatformApi): { platform: PlatformApi; writtenBytes(): number } {
  let bytes = 0;
  const count = (value: unknown) => {
    bytes += Buffer.byteLength(JSON.stringify(value));
  };
  const counting: PlatformApi = {
    ...platform,
    create(kind, key, value) {
      count(value);
      return platform.create(kind, key, value);
    },
    update(kind, key, version, value) {
      count(value);
      return platform.update(kind, key, version, value);
    },
  };
  return { platform: counting, writtenBytes: () => bytes };
}

async function measure(ratePerSecond: number): Promise<void> {
  const standin = createStandinPlatform({
    latencyMs: 4,
    jitterMs: 1,
    random: createSeededRandom(1),
  });
  const { platform, writtenBytes } = countBytes(standin);
  const writers = Array.from({ length: writerCount }, (_, index) =>
    createClaimStore({ platform, ownerId: `entry-${index}` }),
  );
  // The first claims of the writers warm them up; their calls and time are printed separately.
  refusedCount = 0;
  const startedAtMs = monotonicNowMs();
  await Promise.all(writers.map((store, index) => claimOnce(store, `warm-up-${index}`)));
  await Promise.all(
    Array.from({ length: 64 }, (_, index) =>
      claimOnce(writers[index % writerCount], `start-${index}`),
    ),
  );
  const startCalls = totalCalls(standin);
  const startMs = monotonicNowMs() - startedAtMs;
  standin.control.resetStats();
  const bytesBefore = writtenBytes();
  const takeUs = createHistogram();
  const claimCount = await offerLoad(writers, ratePerSecond, takeUs);
  const { calls, outcomes } = standin.control.stats();
  print({
    ratePerSecond,
    claims: claimCount,
    writesPerClaim: (calls.create + calls.update + calls.remove) / claimCount,
    readsPerClaim: (calls.get + calls.list) / claimCount,
    refused: refusedCount,
    conflicts: outcomes.conflict ?? 0,
    writtenBytesPerClaim: (writtenBytes() - bytesBefore) / claimCount,
    takeP50Ms: takeUs.percentile(50) / usPerMs,
    takeP99Ms: takeUs.percentile(99) / usPerMs,
    startCalls,
    startMs,
  });
}

async function offerLoad(
  writers: readonly ClaimStore[],
  ratePerSecond: number,
  takeUs: ReturnType<typeof createHistogram>,
): Promise<number> {
  const startedAtMs = monotonicNowMs();
  const work: Promise<void>[] = [];
  while (monotonicNowMs() - startedAtMs < durationMs) {
    const due = ((monotonicNowMs() - startedAtMs) * ratePerSecond) / msPerSecond;
    while (work.length < due) {
      const store = writers[work.length % writers.length];
      work.push(claimOnce(store, `key-${work.length}`, takeUs));
    }
    await delay(1);
  }
  await Promise.all(work);
  return work.length;
}

async function claimOnce(
  store: ClaimStore | undefined,
  key: string,
  takeUs?: ReturnType<typeof createHistogram>,
): Promise<void> {
  const sentAtMs = monotonicNowMs();
  const claimKey = `halloran-voss/draft-models/${key}`;
  const outcome = await store?.take({
    key: claimKey,
    requestId: `request-${key}`,
    attemptId: `attempt-${key}`,
    expiresInMs: 600_000,
  });
  takeUs?.record(Math.max(1, Math.round((monotonicNowMs() - sentAtMs) * usPerMs)));
  if (outcome?.isOk() && outcome.value.kind === 'taken') {
    await delay(50);
    await store?.finish(outcome.value.claim, 'ran');
    return;
  }
  refusedCount += 1;
}

function totalCalls(platform: ReturnType<typeof createStandinPlatform>): number {
  return Object.values(platform.control.stats().calls).reduce((sum, count) => sum + count, 0);
}

function print(row: Record<string, string | number>): void {
  const cells = Object.entries(row).map(([name, value]) => {
    const text = typeof value === 'number' ? String(Math.round(value * 100) / 100) : value;
    return `${name}=${text}`;
  });
  process.stdout.write(`${cells.join(' ')}\n`);
}

for (const ratePerSecond of rates) {
  await measure(ratePerSecond);
}
