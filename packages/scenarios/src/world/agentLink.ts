/**
 * Connects one entry to the agents by direct calls in place of sockets. As with sockets, a call that has
 * been cancelled may still arrive, a response may be lost after the call took effect, and the agent learns
 * of a closed connection unless the network is cut.
 */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Agent } from '@bluebellhitch/agent';
import type { StreamFrame, StreamRequest } from '@bluebellhitch/protocol';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentApi, AgentCallError, AgentCallOptions } from '@bluebellhitch/entry';
import { createFrameFilter } from './frameFaults';
import { createFrameQueue, type FrameQueue } from './frameQueue';
import type { AgentCall, Network } from './network';
import { runOutsideProcesses, type SimulatedProcess } from './simulatedProcess';

/** An agent process that listens at an address. */
export interface ListeningAgent {
  id: string;
  process: SimulatedProcess;
  agent: Agent;
  /** Whether its machine is lost, so that connections are neither closed nor refused. */
  isUnresponsive: () => boolean;
}

export interface AgentLinkOptions {
  caller: SimulatedProcess;
  network: Network;
  /** Returns the agent that currently listens at the address. */
  agentAt: (address: string) => ListeningAgent | undefined;
  /** Whether agents learn that a caller's connection closed. */
  reportsDisconnects: () => boolean;
  /** Changes a stream's request and frames in transit. */
  tamper: StreamTampering;
}

export interface StreamTampering {
  request(request: StreamRequest): StreamRequest;
  /** Creates the function that changes the frames of one stream. */
  frames(request: StreamRequest): (frame: StreamFrame) => StreamFrame;
}

/** Creates a queue that discards the frames of the response to a repeated message. */
function createDiscardQueue(): FrameQueue {
  const queue = createFrameQueue({
    whenReaderRunning: () => Promise.resolve(),
    onAbandoned: () => undefined,
  });
  queue.end();
  return queue;
}

/** Number of unread frames at which the agent's socket counts as full. */
const maxUnreadFrames = 32;

interface Exchange<Reply> {
  call: AgentCall;
  address: string;
  options: AgentCallOptions;
  /** Called for each copy that arrives; only the response to the first is returned. */
  serve: (target: ListeningAgent, connection: AbortSignal, copy: number) => Promise<Reply>;
}

/** Creates the `AgentApi` of one entry. Plain calls need sockets and are refused. */
export function createAgentLink(options: AgentLinkOptions): AgentApi {
  const { caller, network, agentAt, reportsDisconnects, tamper } = options;

  async function exchange<Reply>(input: Exchange<Reply>): Promise<Result<Reply, AgentCallError>> {
    await caller.whenRunning();
    const connection = new AbortController();
    const reply = await new Promise<Result<Reply, AgentCallError>>((resolve) => {
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
      void runOutsideProcesses(() => deliver(input, connection, finish));
      caller.crashSignal.addEventListener('abort', () => close(input.address, connection));
    });
    if (reply.isErr()) {
      close(input.address, connection);
    }
    return reply;
  }

  async function deliver<Reply>(
    { call, address, serve }: Exchange<Reply>,
    connection: AbortController,
    finish: (result: Result<Reply, AgentCallError>) => void,
  ): Promise<void> {
    await waitInTransit(agentAt(address)?.id);
    const target = agentAt(address);
    if (target?.isUnresponsive()) {
      return;
    }
    if (target === undefined || target.process.state() === 'crashed') {
      await returnToCaller(undefined);
      finish(err({ kind: 'not-sent', detail: 'connection refused' }));
      return;
    }
    const { process } = target;
    process.crashSignal.addEventListener('abort', () => {
      if (target.isUnresponsive()) {
        return;
      }
      void runOutsideProcesses(() => returnToCaller(target.id)).then(() =>
        finish(err({ kind: 'lost', detail: 'connection reset' })),
      );
    });
    await process.whenRunning();
    const copies = Array.from({ length: network.copiesOf(target.id, call) });
    const [reply] = await Promise.all(
      copies.map((_, copy) => process.run(() => serve(target, connection.signal, copy))),
    );
    await process.whenRunning();
    if (!network.takeLostResponse(target.id, call)) {
      await returnToCaller(target.id);
      finish(ok(reply as Reply));
    }
  }

  async function waitInTransit(agentId: string | undefined): Promise<void> {
    await runOutsideProcesses(() => delay(network.latencyMs()));
    if (agentId !== undefined) {
      await network.whenConnected(caller.id, agentId);
    }
  }

  async function returnToCaller(agentId: string | undefined): Promise<void> {
    await waitInTransit(agentId);
    await caller.whenRunning();
  }

  /** The agent learns of the close after the latency and, if the network is cut, once it is healed. */
  function close(address: string, connection: AbortController): void {
    const target = agentAt(address);
    if (target === undefined || connection.signal.aborted || !reportsDisconnects()) {
      return;
    }
    void runOutsideProcesses(async () => {
      await waitInTransit(target.id);
      await target.process.whenRunning();
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
    const queue = createFrameQueue({
      whenReaderRunning: caller.whenRunning,
      onAbandoned: closeConnection,
    });
    const abort = () => {
      queue.end();
      closeConnection();
    };
    callOptions.signal?.addEventListener('abort', abort);
    caller.crashSignal.addEventListener('abort', closeConnection);
    const sent = tamper.request(request);
    return send({
      call: 'stream',
      address,
      options: callOptions,
      serve: async (target, head, copy) => {
        head.addEventListener('abort', () => connection.abort());
        startStream(target, sent, copy === 0 ? queue : createDiscardQueue(), connection.signal);
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
    const channel = createFrameChannel();
    const end = () => channel.send(queue.end);
    process.crashSignal.addEventListener('abort', () => !target.isUnresponsive() && end());
    const sink = (frame: StreamFrame) => {
      if (process.state() === 'crashed' || connection.aborted) {
        return undefined;
      }
      const { frames, disconnects } = filter(frame);
      frames.map(tampered).forEach((passed) => channel.send(() => queue.push(passed)));
      if (disconnects) {
        end();
      }
      return queue.size() < maxUnreadFrames ? undefined : queue.whenChanged();
    };
    void process.run(() => agent.runStream(request, sink, connection)).then(end);

    /** Frames arrive in order, each after its own latency. */
    function createFrameChannel() {
      let last = Promise.resolve();
      return {
        send(arrive: () => void): void {
          const dueAtMs = monotonicNowMs() + network.latencyMs();
          last = last.then(async () => {
            await runOutsideProcesses(() => delay(Math.max(0, dueAtMs - monotonicNowMs())));
            await network.whenConnected(caller.id, id);
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
      new ResultAsync(
        Promise.resolve(err({ kind: 'not-sent', detail: 'plain calls are not simulated' })),
      ),
  };
}
