/**
 * Cost of one control message: bytes of TCP payload, and processor time of the agent and of its client, which uses
 * the same transport as entries. Covers heartbeats, bids and the worker state queries of order reconcilers.
 */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { Agent, request } from 'undici';
import {
  blockTokens,
  innerPaths,
  samplePrefixBlocks,
  type AgentRouter,
} from '@bluebellhitch/protocol';
import { createSeededRandom } from '@bluebellhitch/shared';
import { renderTable } from '../report/table';
import {
  applyDocuments,
  startUsageMeter,
  startByteCounter,
  host,
  localDataCentre,
  serviceName,
  startPlatform,
  withHarness,
  type Harness,
} from './capacityHarness';
import type { ExperimentContext, ExperimentReport } from './context';

type AgentClient = TRPCClient<AgentRouter>;
type Call = (client: AgentClient, index: number) => Promise<unknown>;

interface MessageCost {
  message: string;
  count: number;
  sentBytes: number;
  receivedBytes: number;
  agentUs: number;
  callerUs: number;
}

const counts = [500, 1000, 2000];
const byteSampleCalls = 50;
const concurrency = 8;
const usPerSecond = 1e6;
const promptSizes = [400, 4_000, 16_000];
const hashCharacters = 16;
const random = createSeededRandom(1);
const hashes = Array.from({ length: 1024 }, () =>
  Math.floor(random() * 2 ** 48)
    .toString(16)
    .padStart(hashCharacters, '0'),
);

const messages: Record<string, Call> = {
  heartbeat: (client, index) =>
    client.heartbeat.mutate({
      entryId: `entry-${index % 60}`,
      entryIncarnation: '0b9f6f3a-9d0e-4f0b-8a5c-2f6d7c3e1a44',
    }),
  ...Object.fromEntries(
    promptSizes.map((promptTokens): [string, Call] => [
      `bid, ${promptTokens} tokens`,
      (client) => client.bid.mutate(createBidRequest(promptTokens)),
    ]),
  ),
  workerState: (client) => client.workerState.query(),
};

export async function runMessages(context: ExperimentContext): Promise<ExperimentReport> {
  const costs = await withHarness(context, measureAll);
  const rows = costs.map((cost) => [
    cost.message,
    String(cost.count),
    cost.sentBytes.toFixed(0),
    cost.receivedBytes.toFixed(0),
    cost.agentUs.toFixed(0),
    cost.callerUs.toFixed(0),
  ]);
  const headers = ['message', 'calls', 'bytes sent', 'bytes received', 'agent us', 'caller us'];
  return { text: renderTable(headers, rows), figures: { costs } };
}

async function measureAll(harness: Harness): Promise<MessageCost[]> {
  const platformUrl = await startPlatform(harness);
  await applyDocuments(platformUrl, 1);
  const engine = await harness.start('engine', 'standin-engine', {
    host,
    role: 'both',
    models: 'm@1',
  });
  const agent = await harness.start('agent', 'bluebell-agent', {
    instanceId: 'agent-measured',
    dataCentre: localDataCentre,
    service: serviceName(0),
    backendUrl: engine.addresses.address ?? '',
    platformUrl,
  });
  const { innerAddress = '', adminAddress = '' } = agent.addresses;
  const results: MessageCost[] = [];
  for (const [message, call] of Object.entries(messages)) {
    await measureBytes(innerAddress, call);
    const bytes = await measureBytes(innerAddress, call);
    for (const count of counts) {
      results.push({
        message,
        count,
        ...bytes,
        ...(await measureTime(adminAddress, innerAddress, call, count)),
      });
    }
  }
  return results;
}

async function measureBytes(innerAddress: string, call: Call) {
  const counter = await startByteCounter(innerAddress);
  const { client, close } = createClient(counter.address);
  await sendCalls(client, call, byteSampleCalls);
  const { sent, received } = counter.totals();
  await close();
  counter.close();
  return { sentBytes: sent / byteSampleCalls, receivedBytes: received / byteSampleCalls };
}

async function measureTime(
  adminAddress: string,
  innerAddress: string,
  call: Call,
  count: number,
): Promise<Pick<MessageCost, 'agentUs' | 'callerUs'>> {
  const { client, close } = createClient(innerAddress);
  const stopUsageMeter = await startUsageMeter(adminAddress);
  const ownBefore = process.cpuUsage();
  await sendCalls(client, call, count);
  const own = process.cpuUsage(ownBefore);
  const { cpuSeconds } = await stopUsageMeter();
  await close();
  return {
    agentUs: (cpuSeconds * usPerSecond) / count,
    callerUs: (own.user + own.system) / count,
  };
}

async function sendCalls(client: AgentClient, call: Call, count: number): Promise<void> {
  const workers = Array.from({ length: concurrency }, async (_, worker) => {
    for (let index = worker; index < count; index += concurrency) {
      await call(client, index);
    }
  });
  await Promise.all(workers);
}

function createClient(address: string): { client: AgentClient; close(): Promise<void> } {
  const dispatcher = new Agent({ pipelining: 1 });
  const client = createTRPCClient<AgentRouter>({
    links: [httpLink({ url: `${address}${innerPaths.trpc}`, fetch: createFetch(dispatcher) })],
  });
  return { client, close: () => dispatcher.destroy() };
}

/** Uses undici's `request` in place of `fetch`, as entries do. */
function createFetch(dispatcher: Agent) {
  return async (input: unknown, init?: unknown) => {
    const { method = 'GET', headers, body } = (init ?? {}) as RequestInit;
    const response = await request(String(input), {
      dispatcher,
      method,
      headers: headers as Record<string, string>,
      body: body as string | undefined,
    });
    const text = await response.body.text();
    return { ok: response.statusCode < 400, json: () => Promise.resolve(JSON.parse(text)) };
  };
}

function createBidRequest(promptTokens: number) {
  return {
    service: serviceName(0),
    promptTokens,
    maxOutputTokens: 400,
    prefixBlocks: samplePrefixBlocks(hashes.slice(0, Math.ceil(promptTokens / blockTokens))),
    className: 'counter',
  };
}
