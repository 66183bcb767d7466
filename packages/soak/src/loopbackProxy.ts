/**
 * A TCP proxy on loopback between a process and one peer. Faults act on the bytes in flight, as in a network: a silent
 * link holds bytes back and delivers them once the fault ends.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { assertNever, monotonicNowMs } from '@bluebellhitch/shared';

export type LinkFault =
  | { kind: 'none' }
  | { kind: 'delay'; delayMs: number }
  /** Blocks both directions. */
  | { kind: 'silent' }
  /** Blocks outgoing bytes; bytes from the peer pass. */
  | { kind: 'one-way' };

export interface LoopbackProxy {
  /** `ip:port`. */
  address: string;
  setFault(fault: LinkFault): void;
  /** Resets all open connections. */
  resetAll(): void;
  close(): void;
}

export interface LoopbackProxyOptions {
  host: string;
  /** `ip:port` of the peer. */
  target: string;
}

type Chunk = { kind: 'data'; bytes: Buffer } | { kind: 'end' } | { kind: 'reset' };

/** One direction of one connection. */
interface Flow {
  /** Whether the sender is the side that opened the connection. */
  isOutgoing: boolean;
  queue: { chunk: Chunk; dueAtMs: number }[];
  from: Socket;
  to: Socket;
  timer?: NodeJS.Timeout;
}

/** Above this length of a queue the sender is paused, as by a full TCP window. */
const maxQueuedChunks = 64;

export async function startLoopbackProxy(options: LoopbackProxyOptions): Promise<LoopbackProxy> {
  const [targetHost = '', targetPort = '0'] = options.target.split(':');
  const flows = new Set<Flow>();
  let fault: LinkFault = { kind: 'none' };

  function isBlocked({ isOutgoing }: Flow): boolean {
    return fault.kind === 'silent' || (fault.kind === 'one-way' && isOutgoing);
  }

  function processQueue(flow: Flow): void {
    clearTimeout(flow.timer);
    flow.timer = undefined;
    while (!isBlocked(flow)) {
      const [next] = flow.queue;
      if (next === undefined) {
        flow.from.resume();
        return;
      }
      const waitMs = next.dueAtMs - monotonicNowMs();
      if (waitMs > 0) {
        flow.timer = setTimeout(() => processQueue(flow), waitMs);
        return;
      }
      flow.queue.shift();
      deliver(flow, next.chunk);
    }
  }

  function deliver({ to }: Flow, chunk: Chunk): void {
    if (to.destroyed) {
      return;
    }
    switch (chunk.kind) {
      case 'data':
        to.write(chunk.bytes);
        break;
      case 'end':
        to.end();
        break;
      case 'reset':
        reset(to);
        break;
      default:
        assertNever(chunk);
    }
  }

  function enqueue(flow: Flow, chunk: Chunk): void {
    const delayMs = fault.kind === 'delay' ? fault.delayMs : 0;
    flow.queue.push({ chunk, dueAtMs: monotonicNowMs() + delayMs });
    if (flow.queue.length > maxQueuedChunks) {
      flow.from.pause();
    }
    if (flow.timer === undefined) {
      processQueue(flow);
    }
  }

  function forward(from: Socket, to: Socket, isOutgoing: boolean): void {
    const flow: Flow = { isOutgoing, queue: [], from, to };
    flows.add(flow);
    from.on('data', (bytes) => enqueue(flow, { kind: 'data', bytes }));
    from.on('end', () => {
      if (from.writableEnded) {
        enqueue(flow, { kind: 'end' });
        return;
      }
      // Node.js reports a reset that arrives with the last bytes as an end, but a write of no bytes fails after it.
      from.write(Buffer.alloc(0), (error) => enqueue(flow, { kind: error ? 'reset' : 'end' }));
    });
    // Handled by `close`, which follows with `hadError`.
    from.on('error', () => undefined);
    from.on('close', (hadError) => {
      if (hadError) {
        reset(to);
      }
      if (to.destroyed) {
        clearTimeout(flow.timer);
        flows.delete(flow);
      }
    });
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (incoming) => {
    const outgoing = connect({
      host: targetHost,
      port: Number(targetPort),
      allowHalfOpen: true,
      noDelay: true,
    });
    forward(incoming, outgoing, true);
    forward(outgoing, incoming, false);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, options.host, resolve);
  });

  function resetAll(): void {
    [...flows].forEach((flow) => {
      clearTimeout(flow.timer);
      reset(flow.from);
    });
    flows.clear();
  }

  return {
    address: `${options.host}:${(server.address() as AddressInfo).port}`,
    setFault(next) {
      fault = next;
      [...flows].forEach(processQueue);
    },
    resetAll,
    close() {
      server.close();
      resetAll();
    },
  };
}

/** Node.js cannot reset a socket after `end()`: its handle would never close. */
function reset(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
