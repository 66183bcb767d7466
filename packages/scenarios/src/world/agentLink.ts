/**
 * The agents as one entry sees them, by direct calls in place of sockets. As with sockets, a call that
 * is given up may still arrive, an answer may be lost after its effect, and the end of a connection
 * reaches the agent unless the network is cut.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Agent } from '@bluebellhitch/agent';
import type { StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentApi, AgentCallError, AgentCallOptions } from '@bluebellhitch/entry';
import { createFrameFilter } from './frameFaults';
import { createFrameQueue, type FrameQueue } from './frameQueue';
import type { AgentCall, Network } from './network';
import { outside, type SimulatedProcess } from './simulatedProcess';

/** An agent process that listens at an address. */
export interface ListeningAgent {
  id: string;
  process: SimulatedProcess;
  agent: Agent;
  /** Its machine is gone: connections neither close nor are refused. */
  isSilent: () => boolean;
}

export interface AgentLinkOptions {
  caller: SimulatedProcess;
  network: Network;
  /** The agent that listens at the address now. */
  agentAt: (address: string) => ListeningAgent | undefined;
  /** Whether agents learn that a caller's connection closed. */
  tellsClosed: () => boolean;
  /** Changes a stream's request and frames on their way; the identity where nothing is tampered with. */
  tamper: StreamTampering;
}

export interface StreamTampering {
  request(request: StreamRequest): StreamRequest;
  /** Makes the function that changes the frames of one stream. */
  frames(request: StreamRequest): (frame: StreamFrame) => StreamFrame;
}

/** Where the answer to a repeated message goes. */
function unreadQueue(): FrameQueue {
  const queue = createFrameQueue({ turn: () => Promise.resolve(), onLeft: () => undefined });
  queue.end();
  return queue;
}

/** Frames that a reader may leave unread before the agent's socket is full. */
const unreadLimit = 32;

interface Exchange<Reply> {
  call: AgentCall;
  address: string;
  options: AgentCallOptions;
  /** Called for each copy that arrives; only the first one's answer goes back. */
  serve: (target: ListeningAgent, connection: AbortSignal, copy: number) => Promise<Reply>;
}

/** Makes the `AgentApi` of one entry. Plain calls need sockets and are refused. */
export function createAgentLink(options: AgentLinkOptions): AgentApi {
  const { caller, network, agentAt, tellsClosed, tamper } = options;

  async function exchange<Reply>(input: Exchange<Reply>): Promise<Result<Reply, AgentCallError>> {
    await caller.turn();
    const connection = new AbortController();
    const answer = await new Promise<Result<Reply, AgentCallError>>((resolve) => {
      const fail = (error: AgentCallError) => resolve(err(error));
      const { timeoutMs, signal } = input.options;
      const timer = setTimeout(() => fail({ kind: 'timeout', detail: 'no answer' }), timeoutMs);
      const cancel = () => fail({ kind: 'cancelled' });
      signal?.addEventListener('abort', cancel);
      if (signal?.aborted) {
        cancel();
      }
      const finish = (result: Result<Reply, AgentCallError>) => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', cancel);
        resolve(result);
      };
      void outside(() => carry(input, connection, finish));
      caller.gone.addEventListener('abort', () => close(input.address, connection));
    });
    if (answer.isErr()) {
      close(input.address, connection);
    }
    return answer;
  }

  async function carry<Reply>(
    { call, address, serve }: Exchange<Reply>,
    connection: AbortController,
    finish: (result: Result<Reply, AgentCallError>) => void,
  ): Promise<void> {
    await travel(agentAt(address)?.id);
    const target = agentAt(address);
    if (target?.isSilent()) {
      return;
    }
    if (target === undefined || target.process.state() === 'crashed') {
      await backToCaller(undefined);
      finish(err({ kind: 'not-sent', detail: 'connection refused' }));
      return;
    }
    const { process } = target;
    process.gone.addEventListener('abort', () => {
      if (target.isSilent()) {
        return;
      }
      void outside(() => backToCaller(target.id)).then(() =>
        finish(err({ kind: 'lost', detail: 'connection reset' })),
      );
    });
    await process.turn();
    const copies = Array.from({ length: network.copiesOf(target.id, call) });
    const [reply] = await Promise.all(
      copies.map((_, copy) => process.run(() => serve(target, connection.signal, copy))),
    );
    await process.turn();
    if (!network.takeLostAnswer(target.id, call)) {
      await backToCaller(target.id);
      finish(ok(reply as Reply));
    }
  }

  async function travel(agentId: string | undefined): Promise<void> {
    await outside(() => delay(network.latencyMs()));
    if (agentId !== undefined) {
      await network.untilOpen(caller.id, agentId);
    }
  }

  async function backToCaller(agentId: string | undefined): Promise<void> {
    await travel(agentId);
    await caller.turn();
  }

  /** The agent learns of it after the latency, and after a cut. */
  function close(address: string, connection: AbortController): void {
    const target = agentAt(address);
    if (target === undefined || connection.signal.aborted || !tellsClosed()) {
      return;
    }
    void outside(async () => {
      await travel(target.id);
      await target.process.turn();
      target.process.run(() => connection.abort());
    });
  }

  function send<Reply>(input: Exchange<Reply>): ResultAsync<Reply, AgentCallError> {
    return new ResultAsync(exchange(input));
  }

  function openStream(
    address: string,
    request: StreamRequest,
    callOptions: AgentCallOptions,
  ): ResultAsync<AsyncIterable<StreamFrame>, AgentCallError> {
    const connection = new AbortController();
    const closeConnection = () => close(address, connection);
    const queue = createFrameQueue({ turn: caller.turn, onLeft: closeConnection });
    const abort = () => {
      queue.end();
      closeConnection();
    };
    callOptions.signal?.addEventListener('abort', abort);
    caller.gone.addEventListener('abort', closeConnection);
    const sent = tamper.request(request);
    return send({
      call: 'stream',
      address,
      options: callOptions,
      serve: async (target, head, copy) => {
        head.addEventListener('abort', () => connection.abort());
        startStream(target, sent, copy === 0 ? queue : unreadQueue(), connection.signal);
      },
    }).map(() => queue);
  }

  function startStream(
    target: ListeningAgent,
    request: StreamRequest,
    queue: FrameQueue,
    connection: AbortSignal,
  ): void {
    const { process, agent, id } = target;
    const filter = createFrameFilter(() => network.frameFaultOf(id));
    const tampered = tamper.frames(request);
    const road = createRoad();
    const end = () => road.send(queue.end);
    process.gone.addEventListener('abort', () => !target.isSilent() && end());
    const sink = (frame: StreamFrame) => {
      if (process.state() === 'crashed' || connection.aborted) {
        return undefined;
      }
      const { frames, breaks } = filter(frame);
      frames.map(tampered).forEach((passed) => road.send(() => queue.push(passed)));
      if (breaks) {
        end();
      }
      return queue.size() < unreadLimit ? undefined : queue.untilRoom();
    };
    void process.run(() => agent.runStream(request, sink, connection)).then(end);

    /** Frames keep their order on the way, and pass at their own time. */
    function createRoad() {
      let last = Promise.resolve();
      return {
        send(arrive: () => void): void {
          const dueAtMs = monotonicNowMs() + network.latencyMs();
          last = last.then(async () => {
            await outside(() => delay(Math.max(0, dueAtMs - monotonicNowMs())));
            await network.untilOpen(caller.id, id);
            arrive();
          });
        },
      };
    }
  }

  return {
    bid: (address, request, callOptions) =>
      send({
        ...{ call: 'bid', address, options: callOptions },
        serve: ({ agent }) => agent.handlers.bid(request),
      }),
    reserve: (address, request, callOptions) =>
      send({
        ...{ call: 'reserve', address, options: callOptions },
        serve: ({ agent }, connection) => agent.handlers.reserve(request, connection),
      }),
    prefill: (address, request, callOptions) =>
      send({
        ...{ call: 'prefill', address, options: callOptions },
        serve: ({ agent }, connection) => agent.handlers.prefill(request, connection),
      }),
    cancel: (address, reference, callOptions) =>
      send({
        ...{ call: 'cancel', address, options: callOptions },
        serve: ({ agent }) => agent.handlers.cancel(reference),
      }),
    heartbeat: (address, heartbeat, callOptions) =>
      send({
        ...{ call: 'heartbeat', address, options: callOptions },
        serve: ({ agent }) => agent.handlers.heartbeat(heartbeat),
      }),
    openStream,
    plain: () =>
      new ResultAsync(Promise.resolve(err({ kind: 'not-sent', detail: 'no plain traffic here' }))),
  };
}
