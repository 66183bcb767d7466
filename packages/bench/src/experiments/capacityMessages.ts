/**
 * What one control message costs: bytes of TCP payload, and processor time of the agent and of its
 * caller, who uses the transport of entries. Heartbeats, bids and the questions of order holders.
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
  beginUsage,
  countBytes,
  host,
  localDataCentre,
  serviceName,
  startPlatform,
  withLab,
  type Lab,
} from './capacityLab';
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
const callsForBytes = 50;
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
      (client) => client.bid.mutate(bidRequest(promptTokens)),
    ]),
  ),
  workerState: (client) => client.workerState.query(),
};

export async function runMessages(context: ExperimentContext): Promise<ExperimentReport> {
  const costs = await withLab(context, measureAll);
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

async function measureAll(lab: Lab): Promise<MessageCost[]> {
  const platformUrl = await startPlatform(lab);
  await applyDocuments(platformUrl, 1);
  const engine = await lab.start('engine', 'standin-engine', { host, role: 'both', models: 'm@1' });
  const agent = await lab.start('agent', 'bluebell-agent', {
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
  const counter = await countBytes(innerAddress);
  const { client, close } = createClient(counter.address);
  await sendCalls(client, call, callsForBytes);
  const { sent, received } = counter.totals();
  await close();
  counter.close();
  return { sentBytes: sent / callsForBytes, receivedBytes: received / callsForBytes };
}

async function measureTime(
  adminAddress: string,
  innerAddress: string,
  call: Call,
  count: number,
): Promise<Pick<MessageCost, 'agentUs' | 'callerUs'>> {
  const { client, close } = createClient(innerAddress);
  const endUsage = await beginUsage(adminAddress);
  const ownBefore = process.cpuUsage();
  await sendCalls(client, call, count);
  const own = process.cpuUsage(ownBefore);
  const { cpuSeconds } = await endUsage();
  await close();
  return {
    agentUs: (cpuSeconds * usPerSecond) / count,
    callerUs: (own.user + own.system) / count,
  };
}

async function sendCalls(client: AgentClient, call: Call, count: number): Promise<void> {
  const lanes = Array.from({ length: concurrency }, async (_, lane) => {
    for (let index = lane; index < count; index += concurrency) {
      await call(client, index);
    }
  });
  await Promise.all(lanes);
}

function createClient(address: string): { client: AgentClient; close(): Promise<void> } {
  const dispatcher = new Agent({ pipelining: 1 });
  const client = createTRPCClient<AgentRouter>({
    links: [httpLink({ url: `${address}${innerPaths.trpc}`, fetch: createFetch(dispatcher) })],
  });
  return { client, close: () => dispatcher.destroy() };
}

/** As entries do it: undici's plain request in place of its `fetch`. */
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

function bidRequest(promptTokens: number) {
  return {
    service: serviceName(0),
    promptTokens,
    maxOutputTokens: 400,
    prefixBlocks: samplePrefixBlocks(hashes.slice(0, Math.ceil(promptTokens / blockTokens))),
    className: 'counter',
  };
}
