/**
 * One heartbeat for each agent that this entry shares work with, and only while it does. It renews all
 * leases that the entry holds there.
 */
import { setMaxListeners } from 'node:events';
import type { HeartbeatReply } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentApi } from './agentApi';

/** Leases of an agent end after this long without a heartbeat. */
export const leaseDurationMs = 2_000;

export interface HeartbeatsOptions {
  agents: Pick<AgentApi, 'heartbeat'>;
  entryId: string;
  entryIncarnation: string;
  intervalMs?: number;
  /** Duration of the agents' leases. */
  leaseMs?: number;
  onReply?: (address: string, reply: HeartbeatReply) => void;
}

/** A share in the heartbeat with one agent. */
export interface HeartbeatShare {
  /** Aborts when the leases at this agent have ended, or may have. */
  lapsed: AbortSignal;
  /** Whether leases at the agent may still be relied on; reads the clock. */
  isCurrent(): boolean;
  /** Idempotent; the heartbeat stops with its last share. */
  release(): void;
}

export interface Heartbeats {
  share(address: string): HeartbeatShare;
  /** Agents that heartbeats are sent to now. */
  addresses(): string[];
  stop(): void;
}

interface Pair {
  address: string;
  shareCount: number;
  lapse: AbortController;
  /** When the last heartbeat that the agent answered was sent. */
  renewedAtMs: number;
  incarnation?: string;
  timer: NodeJS.Timeout;
  inFlight: boolean;
}

/** Creates the heartbeats of one entry. */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
  const { agents, entryId, entryIncarnation, onReply } = options;
  const { intervalMs = 400, leaseMs = leaseDurationMs } = options;
  const pairs = new Map<string, Pair>();

  function isCurrent(pair: Pair): boolean {
    // A paused process resumes with its timers late: its leases may have lapsed meanwhile, and the
    // memory behind them may serve others. Without this check it would stream from a slot it lost.
    if (monotonicNowMs() - pair.renewedAtMs >= leaseMs) {
      pair.lapse.abort();
    }
    return !pair.lapse.signal.aborted;
  }

  function end(pair: Pair): void {
    clearInterval(pair.timer);
    if (pairs.get(pair.address) === pair) {
      pairs.delete(pair.address);
    }
  }

  function apply(pair: Pair, reply: HeartbeatReply, sentAtMs: number): void {
    const restarted = pair.incarnation !== undefined && pair.incarnation !== reply.incarnation;
    pair.incarnation = reply.incarnation;
    if (restarted) {
      pair.lapse.abort();
      return;
    }
    pair.renewedAtMs = sentAtMs;
    onReply?.(pair.address, reply);
  }

  async function beat(pair: Pair): Promise<void> {
    if (!isCurrent(pair)) {
      end(pair);
      return;
    }
    if (pair.inFlight) {
      return;
    }
    pair.inFlight = true;
    const sentAtMs = monotonicNowMs();
    const reply = await agents.heartbeat(
      pair.address,
      { entryId, entryIncarnation },
      { timeoutMs: leaseMs / 2 },
    );
    pair.inFlight = false;
    reply.map((value) => apply(pair, value, sentAtMs));
  }

  function begin(address: string): Pair {
    const lapse = new AbortController();
    // Every running attempt at the agent listens; Node warns of a leak above ten listeners.
    setMaxListeners(0, lapse.signal);
    const pair: Pair = {
      address,
      shareCount: 0,
      lapse,
      renewedAtMs: monotonicNowMs(),
      timer: setInterval(() => {
        void beat(pair);
      }, intervalMs),
      inFlight: false,
    };
    pairs.set(address, pair);
    return pair;
  }

  function shareOf(pair: Pair): HeartbeatShare {
    let held = true;
    pair.shareCount += 1;
    return {
      lapsed: pair.lapse.signal,
      isCurrent: () => isCurrent(pair),
      release() {
        if (!held) {
          return;
        }
        held = false;
        pair.shareCount -= 1;
        if (pair.shareCount === 0) {
          end(pair);
        }
      },
    };
  }

  return {
    share(address) {
      const known = pairs.get(address);
      return shareOf(known !== undefined && isCurrent(known) ? known : begin(address));
    },
    addresses: () => [...pairs.keys()],
    stop: () => [...pairs.values()].forEach(end),
  };
}
