/** Runs an entry's caller API on a loopback port, with fake agents. */
import type { ExecutionContext } from 'ava';
import { errAsync, okAsync } from 'neverthrow';
import { serviceDocumentSchema, type ServiceDocument } from '@bluebellhitch/document';
import type { ClaimStore, PlatformInstance } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import { createDecisionRing, createEntryMetrics } from '@bluebellhitch/telemetry';
import type { PortResources } from '@bluebellhitch/ports';
import type { CallersTls } from '../../src/callersTls';
import { createCallersApi, type CallersApi } from '../../src/callersApi';
import { createCancellations } from '../../src/cancellations';
import { createHeartbeats } from '../../src/heartbeats';
import { defaultRequestTimeouts, type RequestContext } from '../../src/requestContext';
import { createServiceRuntimes } from '../../src/serviceRuntimes';
import { createServiceTable } from '../../src/serviceTable';
import { createStrikes, type Strikes } from '../../src/strikes';
import { createFakeAgentApi, type FakeAgent } from './fakeAgents';

export interface HarnessOptions {
  tls?: CallersTls;
  resources?: PortResources;
  agents: FakeAgent[];
  document?: Partial<Record<keyof ServiceDocument, unknown>>;
  claims?: ClaimStore;
  strikes?: Strikes;
  timeouts?: Partial<RequestContext['timeouts']>;
  limits?: { maxBodyBytes?: number; slowSenderTimeoutMs?: number; maxConnections?: number };
}

export interface Harness {
  address: string;
  context: RequestContext;
  callersApi: CallersApi;
  ring: ReturnType<typeof createDecisionRing>;
  left: string[];
  down: string[];
}

export const silentLogger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

export const modelDocument = {
  apiVersion: 'bluebellhitch/v1',
  service: 'draft-models',
  institution: 'halloran-voss',
  kind: 'model',
  dataCentres: ['tacoma-hall', 'salem-hall'],
  models: [{ name: 'bond-drafter' }],
};

export const plainDocument = {
  apiVersion: 'bluebellhitch/v1',
  service: 'counter-app',
  institution: 'halloran-voss',
  kind: 'plain',
  dataCentres: ['tacoma-hall', 'salem-hall'],
  routes: [
    { pathPrefix: '/counter' },
    { pathPrefix: '/receipts', methods: ['POST'], repeatable: false },
  ],
};

/** A claim store that grants every claim. */
export function createOpenClaims(): ClaimStore {
  return {
    take: ({ key, requestId, attemptId }) =>
      okAsync({
        kind: 'taken' as const,
        claim: { key, requestId, attemptId, dispatchBeforeMs: Infinity },
      }),
    finish: () => okAsync(undefined),
    release: () => okAsync(undefined),
    settle: () => Promise.resolve(),
  };
}

/** Starts the caller API; it is closed when the test ends. */
export async function startHarness(t: ExecutionContext, options: HarnessOptions): Promise<Harness> {
  const { agents, limits = {} } = options;
  const api = createFakeAgentApi(agents);
  const left: string[] = [];
  const down: string[] = [];
  const services = createServiceTable();
  [modelDocument, plainDocument].forEach((base) => {
    const document = serviceDocumentSchema.parse({ ...base, ...options.document });
    services.put({
      generation: 1,
      documentVersion: 1,
      acceptedAt: '2026-01-01T00:00:00Z',
      document,
    });
  });
  const instances = createFakeInstances(agents, left, down);
  const ring = createDecisionRing();
  const random = createSeededRandom(7);
  let attemptCount = 0;
  const context: RequestContext = {
    entryId: 'entry-1',
    entryIncarnation: 'entry-1-1',
    agents: api,
    instances,
    runtimes: createServiceRuntimes({
      entryId: 'entry-1',
      dataCentre: 'tacoma-hall',
      instances,
      random,
    }),
    heartbeats: createHeartbeats({ agents: api, entryId: 'entry-1', entryIncarnation: '1' }),
    cancellations: createCancellations({ agents: api, entryId: 'entry-1', retryDelayMs: 5 }),
    claims: options.claims ?? createOpenClaims(),
    strikes: options.strikes ?? createLocalStrikes(),
    metrics: createEntryMetrics(),
    ring,
    logger: silentLogger,
    random,
    newAttemptId: () => {
      attemptCount += 1;
      return `attempt-${attemptCount}`;
    },
    timeouts: { ...defaultRequestTimeouts, ...options.timeouts },
  };
  const callersApi = await createCallersApi({
    context,
    services,
    host: '127.0.0.1',
    port: 0,
    tls: options.tls,
    resources: options.resources,
    maxHeaderBytes: 8_192,
    maxBodyBytes: limits.maxBodyBytes ?? 1_000_000,
    maxConnections: limits.maxConnections ?? 100,
    slowSenderTimeoutMs: limits.slowSenderTimeoutMs ?? 1_000,
  });
  t.teardown(async () => {
    context.heartbeats.stop();
    await callersApi.close();
  });
  return { address: callersApi.address, context, callersApi, ring, left, down };
}

function createFakeInstances(agents: readonly FakeAgent[], left: string[], down: string[]) {
  const instances = agents.map(({ instance }) => instance);
  const lists = new Map<string, PlatformInstance[]>();
  const listOf = (service: string) => {
    const list = lists.get(service) ?? instances.filter((instance) => instance.service === service);
    lists.set(service, list);
    return list;
  };
  const drop = (id: string) => {
    [...lists.entries()].forEach(([service, list]) => {
      lists.set(
        service,
        list.filter((instance) => instance.id !== id),
      );
    });
  };
  return {
    agents: listOf,
    entries: () => [],
    markLeaving: (id: string) => {
      left.push(id);
      drop(id);
    },
    markDown: (id: string) => {
      down.push(id);
    },
  };
}

/** Strikes of one entry that are not shared with others. */
export function createLocalStrikes(): Strikes {
  const unavailable = { kind: 'unavailable' as const, detail: 'no platform in this test' };
  return createStrikes({
    platform: {
      get: () => errUnavailable(unavailable),
      create: () => errUnavailable(unavailable),
      update: () => errUnavailable(unavailable),
    },
    sendToPeers: () => undefined,
    logger: silentLogger,
  });
}

function errUnavailable(error: { kind: 'unavailable'; detail: string }) {
  return errAsync(error);
}

/** Sends a chat completion request. */
export function chat(
  address: string,
  body: Record<string, unknown> = {},
  init: RequestInit = {},
): Promise<Response> {
  return fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    ...init,
    headers: { 'content-type': 'application/json', ...(init.headers as Record<string, string>) },
    body: JSON.stringify({
      model: 'draft-models',
      messages: [{ role: 'user', content: 'hello' }],
      ...body,
    }),
  });
}

/** Returns the `data` lines of an event stream, with JSON parsed. */
export function eventsOf(text: string): unknown[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length))
    .map((data) => (data === '[DONE]' ? data : (JSON.parse(data) as unknown)));
}

/** Waits until the condition holds; fails the test after two seconds. */
export async function eventually(t: ExecutionContext, condition: () => boolean): Promise<void> {
  const deadline = Date.now() + 2_000;
  while (!condition() && Date.now() < deadline) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  t.true(condition());
}
