/**
 * Measures the cost of the inner protocol's credentials in µs of processor time: signing, verifying a new
 * token, accepting a cached one, and a message to an inner port with and without keys.
 *
 *     npx tsx --conditions=bluebell-source packages/security/scripts/tokenCost.ts
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { Agent, request } from 'undici';
import {
  createInnerGuard,
  createInnerSecurity,
  innerAudiences,
  insecureInner,
  type InnerSecurity,
} from '../src';
import { createTokenSigner } from '../src/tokenSigner';
import { createTokenVerifier } from '../src/tokenVerifier';

const key = { id: 'k1', secret: 'the-secret-that-the-whole-fleet-knows' };
const messageCount = 4_000;
const rounds = 5;
const messageRounds = 10;

async function cpuUsPerCall(count: number, call: () => unknown): Promise<number> {
  const before = process.cpuUsage();
  for (let done = 0; done < count; done += 1) {
    await call();
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / count;
}

async function minCpuUsPerCall(count: number, call: () => unknown): Promise<number> {
  await cpuUsPerCall(count, call);
  const costs: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    costs.push(await cpuUsPerCall(count, call));
  }
  return Math.min(...costs);
}

interface MessageBench {
  name: string;
  send(): Promise<void>;
  close(): Promise<void>;
}

/** Runs client and server of a message in this process, over loopback. */
async function startMessageBench(name: string, security: InnerSecurity): Promise<MessageBench> {
  const app = new Hono();
  app.use('*', createInnerGuard({ security, audienceOf: () => innerAudiences.agent }));
  app.post('/trpc/bid', (context) => context.json({}));
  const server = createServer(getRequestListener(app.fetch));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/trpc/bid`;
  const dispatcher = new Agent();
  return {
    name,
    async send() {
      const authorization = await security.bearer(innerAudiences.agent);
      const headers = authorization === undefined ? {} : { authorization };
      const { body } = await request(url, { dispatcher, method: 'POST', headers });
      await body.text();
    },
    async close() {
      await dispatcher.close();
      server.close();
    },
  };
}

/** Alternates between the benchmarks, so that load on the machine affects all of them equally. */
async function messageCosts(benches: readonly MessageBench[]): Promise<[string, number][]> {
  const costs = benches.map(({ name }): [string, number] => [name, Infinity]);
  for (let round = 0; round < messageRounds; round += 1) {
    for (const [index, bench] of benches.entries()) {
      const cost = await cpuUsPerCall(messageCount, bench.send);
      costs[index] = [bench.name, Math.min(cost, costs[index]?.[1] ?? cost)];
    }
  }
  await Promise.all(benches.map(({ close }) => close()));
  return costs;
}

const withKeys = createInnerSecurity({ keys: [key], instanceId: 'entry-1' });
const benches = [
  await startMessageBench('message without keys', insecureInner),
  await startMessageBench('message with a token that is not checked', {
    ...withKeys,
    accepts: insecureInner.accepts,
  }),
  await startMessageBench('message with keys', withKeys),
];
const signer = createTokenSigner({ key, issuer: 'entry-1' });
const renewing = createTokenSigner({ key, issuer: 'entry-1', renewalMs: 0 });
const verifier = createTokenVerifier({ keys: [key] });
const bearer = await signer.bearer('agent');
const rows: [string, number][] = [
  ['sign', await minCpuUsPerCall(2_000, () => renewing.bearer('agent'))],
  [
    'verify a new token',
    await minCpuUsPerCall(2_000, () =>
      createTokenVerifier({ keys: [key] }).accepts(bearer, 'agent'),
    ),
  ],
  ['take the kept token', await minCpuUsPerCall(200_000, () => signer.bearer('agent'))],
  ['accept a known token', await minCpuUsPerCall(200_000, () => verifier.accepts(bearer, 'agent'))],
  ...(await messageCosts(benches)),
];
rows.forEach(([name, costUs]) => process.stdout.write(`${name}: ${costUs.toFixed(2)} µs\n`));
