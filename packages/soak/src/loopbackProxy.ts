/**
 * A TCP proxy on loopback between a process and one peer. Faults act on the bytes in flight, as a network
 * does: a silent link holds them back, and delivers them once it is sound again.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { monotonicNowMs } from '@bluebellhitch/shared';

export type LinkFault =
  | { kind: 'none' }
  | { kind: 'delay'; delayMs: number }
  /** Nothing passes, in either direction. */
  | { kind: 'silent' }
  /** Only what the peer sends passes. */
  | { kind: 'one-way' };

export interface LoopbackProxy {
  /** `ip:port`. */
  address: string;
  setFault(fault: LinkFault): void;
  /** Breaks every connection that is open. */
  resetAll(): void;
  close(): void;
}

export interface LoopbackProxyOptions {
  host: string;
  /** `ip:port` of the peer. */
  target: string;
}

type Parcel = { kind: 'data'; bytes: Buffer } | { kind: 'end' };

/** One direction of one connection. */
interface Flow {
  /** Sent by whoever opened the connection. */
  isOutgoing: boolean;
  waiting: { parcel: Parcel; dueAtMs: number }[];
  from: Socket;
  to: Socket;
  timer?: NodeJS.Timeout;
}

/** A sender whose bytes are held back is paused, as by a full window. */
const maxWaitingParcels = 64;

export async function startLoopbackProxy(options: LoopbackProxyOptions): Promise<LoopbackProxy> {
  const [targetHost = '', targetPort = '0'] = options.target.split(':');
  const flows = new Set<Flow>();
  let fault: LinkFault = { kind: 'none' };

  function isHeld({ isOutgoing }: Flow): boolean {
    return fault.kind === 'silent' || (fault.kind === 'one-way' && isOutgoing);
  }

  function pump(flow: Flow): void {
    clearTimeout(flow.timer);
    flow.timer = undefined;
    while (!isHeld(flow)) {
      const [next] = flow.waiting;
      if (next === undefined) {
        flow.from.resume();
        return;
      }
      const waitMs = next.dueAtMs - monotonicNowMs();
      if (waitMs > 0) {
        flow.timer = setTimeout(() => pump(flow), waitMs);
        return;
      }
      flow.waiting.shift();
      deliver(flow, next.parcel);
    }
  }

  function deliver({ to }: Flow, parcel: Parcel): void {
    if (to.destroyed) {
      return;
    }
    if (parcel.kind === 'data') {
      to.write(parcel.bytes);
    } else {
      to.end();
    }
  }

  function take(flow: Flow, parcel: Parcel): void {
    const delayMs = fault.kind === 'delay' ? fault.delayMs : 0;
    flow.waiting.push({ parcel, dueAtMs: monotonicNowMs() + delayMs });
    if (flow.waiting.length > maxWaitingParcels) {
      flow.from.pause();
    }
    if (flow.timer === undefined) {
      pump(flow);
    }
  }

  function join(from: Socket, to: Socket, isOutgoing: boolean): void {
    const flow: Flow = { isOutgoing, waiting: [], from, to };
    flows.add(flow);
    from.on('data', (bytes) => take(flow, { kind: 'data', bytes }));
    from.on('end', () => take(flow, { kind: 'end' }));
    // `close` follows with `hadError`.
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
    join(incoming, outgoing, true);
    join(outgoing, incoming, false);
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
      [...flows].forEach(pump);
    },
    resetAll,
    close() {
      server.close();
      resetAll();
    },
  };
}

/** The runtime cannot reset a connection that it is ending: its handle would stay open for good. */
function reset(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
