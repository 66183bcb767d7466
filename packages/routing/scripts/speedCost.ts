/**
 * Measures the CPU time and memory of learned speeds in a full shard: 40 routers and 322 engines, 64 of them for prefill.
 *
 *     node --import=tsx --conditions=bluebell-source packages/routing/scripts/speedCost.ts
 */
import { choosePrefillEngine } from '@bluebellhitch/decisions';
import { serverKey, type EstimateKind } from '@bluebellhitch/protocol';
import { createSpeedExchange } from '../src';
import { createPrefillSpeeds } from '../src/fleet/prefillSpeeds';

const peers = Array.from({ length: 39 }, (_none, index) => `10.0.1.${index}:7400`);
const engineIds = Array.from({ length: 322 }, (_none, index) => `engine-of-a-shard-${index}`);
const prefillIds = engineIds.slice(0, 64);
const rowsPerMessage = 3;
const kinds: EstimateKind[] = ['prefillSpeed', 'decodePace'];
const usPerMs = 1_000;
const logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const speeds = createSpeedExchange({
  channel: () => ({
    address: '10.0.0.1:7400',
    send: () => Promise.resolve(),
    livePeers: () => peers,
  }),
  logger,
});
const prefillSpeeds = createPrefillSpeeds(speeds.of('prefillSpeed'));
let sequence = 0;

function receive(senderAddress: string, ids: readonly string[], kind: EstimateKind): void {
  sequence += 1;
  const rows = ids.map((id) => ({
    ...{ serverKey: serverKey(id), kind, value: 50, weight: 2, ageMs: 0 },
  }));
  speeds.receive({ senderAddress, incarnation: 1, sequence, rows });
}

function choose(): void {
  const engines = prefillIds.map((serverId) => ({
    serverId,
    backlogTokens: 0,
    learnedSpeed: prefillSpeeds.learned(serverId),
    currentSpeed: prefillSpeeds.current(serverId),
  }));
  choosePrefillEngine(engines, { promptTokens: 5_000, random: Math.random });
}

function measure(name: string, count: number, call: (index: number) => void): void {
  Array.from({ length: 200 }, (_none, index) => call(index));
  const before = process.cpuUsage();
  Array.from({ length: count }, (_none, index) => call(index));
  const { user, system } = process.cpuUsage(before);
  process.stdout.write(`${name}: ${((user + system) / count / usPerMs).toFixed(3)} ms\n`);
}

engineIds.forEach(speeds.noteListed);
const heapBytes = process.memoryUsage().heapUsed;
peers.forEach((peer) => kinds.forEach((kind) => receive(peer, engineIds, kind)));
process.stdout.write(
  `state: ${((process.memoryUsage().heapUsed - heapBytes) / 2 ** 20).toFixed(1)} MB\n`,
);
measure('choice of a prefill engine', 2_000, choose);
measure('choice after a message', 2_000, (index) => {
  receive(peers[index % peers.length] ?? '', prefillIds.slice(0, rowsPerMessage), 'prefillSpeed');
  choose();
});
measure('own sample', 2_000, (index) =>
  speeds.of('prefillSpeed').observe(prefillIds[index % prefillIds.length] ?? '', 50),
);
speeds.close();
