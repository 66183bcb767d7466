/**
 * Stand-in of a plain service: lookups, writes that must not be repeated, echoes and streams, with counts
 * of their runs. Its routes stand for both kinds of traffic: counter (balances, receipts) and pit
 * (dispatch, check-ins).
 */
import { Hono } from 'hono';
import { delay } from '@bluebellhitch/shared';
import {
  abortConnection,
  disconnectSignal,
  listen,
  type ListenOptions,
  type NodeEnvironment,
  type StandinServer,
} from '../httpServer';
import { createRunCounts, type RunCounts } from './runCounts';

export interface StandinPlainServiceOptions extends ListenOptions {
  /** Duration of each lookup or write. */
  serviceTimeMs?: number;
  /** A write whose body contains this text crashes the service. */
  poisonMarker?: string;
  onCrash?: () => void;
}

export interface StandinPlainService extends StandinServer {
  stats(): ReturnType<RunCounts['read']>;
  /** Destroys all connections and stops listening. */
  crash(): void;
}

const idempotencyKeyHeader = 'idempotency-key';

export async function createStandinPlainService(
  options: StandinPlainServiceOptions = {},
): Promise<StandinPlainService> {
  const { serviceTimeMs = 2, poisonMarker, onCrash = () => undefined, ...listenOptions } = options;
  const counts = createRunCounts();
  const app = new Hono<NodeEnvironment>();
  let server: StandinServer | undefined;

  function crash(): void {
    server?.destroy();
    onCrash();
  }

  addLookups(app, counts, serviceTimeMs);
  addWrites(app, counts, serviceTimeMs, (body) => {
    if (poisonMarker !== undefined && body.includes(poisonMarker)) {
      crash();
    }
  });
  addStreams(app, counts);
  app.get('/crash', (context) => {
    crash();
    return abortConnection(context);
  });
  app.get('/stats', (context) => context.json(counts.read()));
  server = await listen(app, listenOptions);
  return { ...server, stats: counts.read, crash };
}

function addLookups(app: Hono<NodeEnvironment>, counts: RunCounts, serviceTimeMs: number): void {
  app.get('/balance/:account', async (context) => {
    const account = context.req.param('account');
    counts.countRoute('GET /balance');
    await delay(serviceTimeMs);
    return context.json({ account, balanceCents: account.length * 1111 });
  });
  app.get('/dispatch/:truck', async (context) => {
    const truck = context.req.param('truck');
    counts.countRoute('GET /dispatch');
    await delay(serviceTimeMs);
    return context.json({ truck, pit: `pit-${truck.length}` });
  });
  app.get('/slow', async (context) => {
    counts.countRoute('GET /slow');
    await delay(Number(context.req.query('ms') ?? 1000), disconnectSignal(context));
    return context.json({ done: true });
  });
}

function addWrites(
  app: Hono<NodeEnvironment>,
  counts: RunCounts,
  serviceTimeMs: number,
  onBody: (body: string) => void,
): void {
  ['/receipts', '/checkins'].forEach((path) => {
    app.post(path, async (context) => {
      const body = await context.req.text();
      const key = context.req.header(idempotencyKeyHeader);
      counts.countRoute(`POST ${path}`);
      const runCount = counts.countKey(key ?? '');
      onBody(body);
      await delay(serviceTimeMs);
      return context.json({ idempotencyKey: key ?? null, runCount, received: body }, 201);
    });
  });
}

function addStreams(app: Hono<NodeEnvironment>, counts: RunCounts): void {
  app.post('/echo', (context) => {
    counts.countRoute('POST /echo');
    const contentType = context.req.header('content-type') ?? 'application/octet-stream';
    return new Response(context.req.raw.body, { headers: { 'content-type': contentType } });
  });
  app.get('/stream', (context) => {
    counts.countRoute('GET /stream');
    const chunkCount = Number(context.req.query('chunks') ?? 10);
    const intervalMs = Number(context.req.query('ms') ?? 10);
    return new Response(lineStream(chunkCount, intervalMs), {
      headers: { 'content-type': 'text/plain' },
    });
  });
}

function lineStream(lineCount: number, intervalMs: number): ReadableStream<Uint8Array> {
  const encoder = new TextEncoder();
  let sent = 0;
  return new ReadableStream({
    pull: async (controller) => {
      if (sent >= lineCount) {
        controller.close();
        return;
      }
      await delay(intervalMs);
      controller.enqueue(encoder.encode(`line ${sent}\n`));
      sent += 1;
    },
  });
}
