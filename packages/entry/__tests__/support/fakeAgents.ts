/** Fake agents behind the `AgentApi` interface, whose behaviour a test can replace. */
import { Readable } from 'node:stream';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type {
  AgentRefusal,
  Bid,
  LoadHint,
  PrefillReply,
  ReserveReply,
  StreamFrame,
  StreamRequest,
  WorkerRole,
} from '@bluebellhitch/protocol';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { AgentApi, AgentCallError, PlainResponse, PlainCall } from '../../src/agentApi';

export interface FakeAgent {
  instance: PlatformInstance;
  bid: () => Bid | AgentCallError;
  reserve: (attemptId: string) => ReserveReply | AgentCallError | Promise<ReserveReply>;
  prefill: (attemptId: string) => PrefillReply | AgentCallError | Promise<PrefillReply>;
  frames: (request: StreamRequest, signal: AbortSignal) => AsyncIterable<StreamFrame>;
  plain: (
    call: PlainCall,
  ) => PlainResponse | AgentCallError | Promise<PlainResponse | AgentCallError>;
  cancel: () => AgentCallError | undefined;
  /** Ids of attempts that hold memory here: granted, and neither ended nor cancelled. */
  held: Set<string>;
  cancelled: string[];
  streamed: StreamRequest[];
  plainCalls: PlainCall[];
  heartbeatCount: number;
}

export interface FakeAgentOptions {
  id: string;
  service: string;
  role?: WorkerRole;
  dataCentre?: string;
}

export const freeLoad: LoadHint = {
  role: 'both',
  freeKvBytes: 1_000_000_000,
  capacityKvBytes: 1_000_000_000,
  activeCount: 0,
  queuedCount: 0,
  queueWaitMs: 0,
  stepMs: 1,
  leaving: false,
};

export const words = ['one ', 'two ', 'three ', 'four '];

export function createFakeAgent(options: FakeAgentOptions): FakeAgent {
  const { id, service, role = 'both', dataCentre = 'tacoma-hall' } = options;
  const load = { ...freeLoad, role };
  const agent: FakeAgent = {
    instance: {
      id,
      kind: 'agent',
      service,
      role,
      dataCentre,
      innerAddress: `http://${id}`,
      state: 'live',
    },
    bid: () => ({ incarnation: `${id}-1`, load, cachedPrefixTokens: 0, usableInMs: 0 }),
    reserve: () => ({ kind: 'granted', incarnation: `${id}-1`, usableInMs: 0, load }),
    prefill: () => ({
      kind: 'prefilled',
      exportId: 'export',
      kvAddress: `http://${id}`,
      kvBytes: 1000,
      promptTokens: 100,
      cachedTokens: 0,
      keptForMs: 1000,
      prefillMs: 5,
      load,
    }),
    frames: (request) => completeResponse(request),
    plain: () => plainResponse(200, 'plain answer'),
    cancel: () => undefined,
    held: new Set(),
    cancelled: [],
    streamed: [],
    plainCalls: [],
    heartbeatCount: 0,
  };
  return agent;
}

/** Yields the words after those already emitted, then the end marker. */
export async function* completeResponse(request: StreamRequest): AsyncGenerator<StreamFrame> {
  yield* tokens(request, words.length);
  yield endOf(request);
}

/** Yields the words after those already emitted, up to `count` in total, without an end marker. */
export async function* tokens(request: StreamRequest, count: number): AsyncGenerator<StreamFrame> {
  const start = request.emitted.tokenCount;
  for (let offset = start; offset < count; offset += 1) {
    yield tokenAt(request.attemptId, offset);
  }
}

export function tokenAt(attemptId: string, offset: number): StreamFrame {
  return { kind: 'tokens', attemptId, offset, tokenCount: 1, text: words[offset] ?? '' };
}

export function endOf(request: StreamRequest): StreamFrame {
  const { attemptId } = request;
  return { kind: 'end', attemptId, offset: words.length, finishReason: 'stop' };
}

export function plainResponse(status: number, text: string): PlainResponse {
  return { status, headers: { 'content-type': 'text/plain' }, body: Readable.from([text]) };
}

export function refusal(reason: AgentRefusal['reason'], notRun: AgentRefusal['notRun'] = true) {
  return { kind: 'refused' as const, reason, notRun, detail: `refused: ${reason}` };
}

const resolvers: unknown[] = [];

/** A response that never comes. */
export function never<Value>(): Promise<Value> {
  return new Promise<Value>((resolve) => {
    resolvers.push(resolve);
  });
}

/** Yields nothing and ends only when the signal aborts. */
export async function* untilAborted(signal: AbortSignal): AsyncGenerator<StreamFrame> {
  yield* [];
  await new Promise<void>((resolve) => {
    if (signal.aborted) {
      resolve();
    }
    signal.addEventListener('abort', () => resolve());
  });
}

const errorKinds: readonly string[] = ['not-sent', 'timeout', 'lost', 'malformed', 'cancelled'];

function isCallError(value: object): value is AgentCallError {
  return 'kind' in value && errorKinds.includes(String(value.kind));
}

/** Resolves as cancelled when the caller aborts, as a real call does. */
function respond<Value extends object>(
  produce: () => Value | AgentCallError | Promise<Value | AgentCallError>,
  signal?: AbortSignal,
): ResultAsync<Value, AgentCallError> {
  const aborted = new Promise<AgentCallError>((resolve) => {
    signal?.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
  });
  const produced = Promise.race([Promise.resolve().then(produce), aborted]);
  return ResultAsync.fromSafePromise(produced).andThen((value) =>
    isCallError(value) ? errAsync(value) : okAsync(value as Value),
  );
}

/** Creates one `AgentApi` for all agents; a call to an unknown address fails as not sent. */
export function createFakeAgentApi(agents: readonly FakeAgent[]): AgentApi {
  const find = (address: string) =>
    agents.find(({ instance }) => instance.innerAddress === address);
  const withAgent = <Value extends object>(
    address: string,
    act: (agent: FakeAgent) => ResultAsync<Value, AgentCallError>,
  ): ResultAsync<Value, AgentCallError> => {
    const agent = find(address);
    return agent === undefined ? errAsync({ kind: 'not-sent', detail: 'unknown' }) : act(agent);
  };
  return {
    bid: (address, _request, { signal }) =>
      withAgent(address, (agent) => respond(() => agent.bid(), signal)),
    reserve: (address, request, { signal }) =>
      withAgent(address, (agent) => {
        agent.held.add(request.attemptId);
        return respond(async () => {
          const reply = await agent.reserve(request.attemptId);
          if (reply.kind === 'refused') {
            agent.held.delete(request.attemptId);
          }
          return reply;
        }, signal);
      }),
    prefill: (address, request, { signal }) =>
      withAgent(address, (agent) => respond(() => agent.prefill(request.attemptId), signal)),
    cancel: (address, { attemptId }) =>
      withAgent(address, (agent) => {
        const failure = agent.cancel();
        if (failure !== undefined) {
          return errAsync(failure);
        }
        agent.held.delete(attemptId);
        agent.cancelled.push(attemptId);
        return okAsync({});
      }).map(() => undefined),
    heartbeat: (address) =>
      withAgent(address, (agent) => {
        agent.heartbeatCount += 1;
        const incarnation = `${agent.instance.id}-1`;
        return okAsync({ incarnation, heldAttempts: agent.held.size, load: freeLoad });
      }),
    openStream: (address, request, { signal }) =>
      withAgent(address, (agent) => {
        agent.streamed.push(request);
        return okAsync(streamOf(agent, request, signal ?? new AbortController().signal));
      }),
    plain: (address, call) =>
      withAgent(address, (agent) => {
        agent.plainCalls.push(call);
        return respond(() => agent.plain(call), call.signal);
      }),
  };
}

async function* streamOf(
  agent: FakeAgent,
  request: StreamRequest,
  signal: AbortSignal,
): AsyncGenerator<StreamFrame> {
  for await (const frame of agent.frames(request, signal)) {
    if (signal.aborted) {
      return;
    }
    if (frame.kind !== 'tokens' && frame.attemptId === request.attemptId) {
      agent.held.delete(request.attemptId);
    }
    yield frame;
  }
}
