/** Runs an agent with a fake engine and fake timers. */
import FakeTimers from '@sinonjs/fake-timers';
import type { ExecutionContext } from 'ava';
import { okAsync } from 'neverthrow';
import { serviceDocumentSchema, type AcceptedDocument } from '@bluebellhitch/document';
import type {
  ReserveReply,
  ReserveRequest,
  StreamFrame,
  StreamRequest,
} from '@bluebellhitch/protocol';
import { createAgent, type Agent, type AgentOptions } from '../../src';
import { createFakeEngine, type FakeEngine, type FakeEngineOptions } from './fakeEngine';

export const service = 'draft-models';
export const entry = { entryId: 'entry-1', entryIncarnation: 'first' };

export interface AgentBench {
  agent: Agent;
  engine: FakeEngine;
  clock: ReturnType<typeof FakeTimers.install>;
}

export interface BenchOptions extends FakeEngineOptions, Partial<Omit<AgentOptions, 'backend'>> {
  /** Prepares the engine before the agent starts, such as with work that it already holds. */
  prepareEngine?: (engine: FakeEngine) => void;
}

/** Starts an agent whose time advances only with `clock.tickAsync`; closed when the test ends. */
export async function startBench(
  t: ExecutionContext,
  options: BenchOptions = {},
): Promise<AgentBench> {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'],
  });
  const engine = createFakeEngine(options);
  options.prepareEngine?.(engine);
  const agent = createAgent({
    instanceId: 'agent-1',
    service,
    incarnation: 'agent-first',
    backend: {
      kind: 'model',
      engine,
      kvAddress: 'http://127.0.0.1:1',
      kvRateBytesPerSecond: 1_000_000,
    },
    readFencingNumber: () => okAsync(1),
    random: () => 0.5,
    ...options,
  });
  const started = agent.start();
  await clock.tickAsync(10);
  await started;
  t.teardown(() => {
    agent.close();
    clock.uninstall();
  });
  return { agent, engine, clock };
}

export function reservation(
  attemptId: string,
  overrides: Partial<ReserveRequest> = {},
): ReserveRequest {
  return {
    ...entry,
    requestId: `request-${attemptId}`,
    attemptId,
    origin: { institution: 'halloran-voss', className: 'standard' },
    service,
    purpose: 'decode',
    promptTokens: 10,
    maxOutputTokens: 90,
    neededInMs: 0,
    waitLimitMs: 5000,
    firstTokenDeadlineInMs: 0,
    repeatable: true,
    ...overrides,
  };
}

export function reserve(
  { agent }: AgentBench,
  attemptId: string,
  overrides: Partial<ReserveRequest> = {},
  signal?: AbortSignal,
): Promise<ReserveReply> {
  return agent.handlers.reserve(reservation(attemptId, overrides), signal);
}

export interface RunningStream {
  frames: StreamFrame[];
  done: Promise<void>;
  /** Closes the entry's connection. */
  disconnect(): void;
}

export function openStream(
  { agent }: AgentBench,
  attemptId: string,
  overrides: Partial<StreamRequest> = {},
): RunningStream {
  const frames: StreamFrame[] = [];
  const connection = new AbortController();
  const request: StreamRequest = {
    entryId: entry.entryId,
    attemptId,
    model: service,
    prompt: 'x'.repeat(40),
    source: { kind: 'local' },
    maxOutputTokens: 90,
    emitted: { tokenCount: 0, text: '' },
    priority: 5,
    ...overrides,
  };
  const sink = (frame: StreamFrame) => {
    frames.push(frame);
  };
  return {
    frames,
    done: agent.runStream(request, sink, connection.signal),
    disconnect: () => connection.abort(),
  };
}

export const transferSource: StreamRequest['source'] = {
  kind: 'transfer',
  exportId: 'export-1',
  kvAddress: 'http://127.0.0.1:2',
  kvBytes: 100,
  keptForMs: 800,
};

/** Sends heartbeats of the entry until the returned function is called. */
export function startHeartbeats({ agent }: Pick<AgentBench, 'agent'>): () => void {
  const timer = setInterval(() => {
    void agent.handlers.heartbeat(entry);
  }, 400);
  return () => clearInterval(timer);
}

export function acceptedDocument(generation: number, overrides: object = {}): AcceptedDocument {
  return {
    generation,
    documentVersion: generation,
    acceptedAt: '2026-01-01T00:00:00Z',
    document: serviceDocumentSchema.parse({
      apiVersion: 'bluebellhitch/v1',
      service,
      institution: 'halloran-voss',
      kind: 'model',
      dataCentres: ['tacoma-hall'],
      ...overrides,
    }),
  };
}
