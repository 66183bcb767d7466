/**
 * Sends one periodic heartbeat to each agent at which this entry has work, and only while it has. The
 * heartbeat renews all leases that the entry holds there.
 */
import { setMaxListeners } from 'node:events';
import type { HeartbeatReply } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { AgentApi } from './agentApi';

/** Leases at an agent lapse after this long without a heartbeat, in ms. */
export const leaseDurationMs = 2_000;

/** Reasons of `HeartbeatShare.lapsed`. */
export const lapseCauses = {
  /** The agent has answered no heartbeat for the duration of its leases. */
  unanswered: 'unanswered',
  /** The agent has restarted, and its leases with it. */
  restarted: 'restarted',
} as const;

export interface HeartbeatsOptions {
  agents: Pick<AgentApi, 'heartbeat'>;
  entryId: string;
  entryIncarnation: string;
  intervalMs?: number;
  /** Duration of the agents' leases, in ms. */
  leaseMs?: number;
  onReply?: (address: string, reply: HeartbeatReply) => void;
}

/** A counted reference to the heartbeat of one agent. */
export interface HeartbeatShare {
  /** Aborts when the leases at this agent have lapsed, or may have; its reason is one of `lapseCauses`. */
  lapsed: AbortSignal;
  /** Whether leases at the agent are certainly still valid; reads the clock. */
  isCurrent(): boolean;
  /** Idempotent; the heartbeat stops when its last share is released. */
  release(): void;
}

export interface Heartbeats {
  share(address: string): HeartbeatShare;
  /** Addresses of the agents that heartbeats are sent to now. */
  addresses(): string[];
  stop(): void;
}

interface AgentHeartbeat {
  address: string;
  shareCount: number;
  lapseController: AbortController;
  /** Monotonic time at which the last heartbeat with a reply was sent. */
  renewedAtMs: number;
  incarnation?: string;
  timer: NodeJS.Timeout;
  inFlight: boolean;
}

/** Creates the heartbeats of one entry. */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
  const { agents, entryId, entryIncarnation, onReply } = options;
  const { intervalMs = 400, leaseMs = leaseDurationMs } = options;
  const activeHeartbeats = new Map<string, AgentHeartbeat>();

  function isCurrent(heartbeat: AgentHeartbeat): boolean {
    // When a paused process resumes, its timers are late: its leases may have lapsed meanwhile, and their
    // memory may serve other requests. Without this check it would stream from a slot that it has lost.
    if (monotonicNowMs() - heartbeat.renewedAtMs >= leaseMs) {
      heartbeat.lapseController.abort(lapseCauses.unanswered);
    }
    return !heartbeat.lapseController.signal.aborted;
  }

  function stopHeartbeat(heartbeat: AgentHeartbeat): void {
    clearInterval(heartbeat.timer);
    if (activeHeartbeats.get(heartbeat.address) === heartbeat) {
      activeHeartbeats.delete(heartbeat.address);
    }
  }

  function applyReply(heartbeat: AgentHeartbeat, reply: HeartbeatReply, sentAtMs: number): void {
    const restarted =
      heartbeat.incarnation !== undefined && heartbeat.incarnation !== reply.incarnation;
    heartbeat.incarnation = reply.incarnation;
    if (restarted) {
      heartbeat.lapseController.abort(lapseCauses.restarted);
      return;
    }
    heartbeat.renewedAtMs = sentAtMs;
    onReply?.(heartbeat.address, reply);
  }

  async function sendHeartbeat(heartbeat: AgentHeartbeat): Promise<void> {
    if (!isCurrent(heartbeat)) {
      stopHeartbeat(heartbeat);
      return;
    }
    if (heartbeat.inFlight) {
      return;
    }
    heartbeat.inFlight = true;
    const sentAtMs = monotonicNowMs();
    const reply = await agents.heartbeat(
      heartbeat.address,
      { entryId, entryIncarnation },
      { timeoutMs: leaseMs / 2 },
    );
    heartbeat.inFlight = false;
    reply.map((value) => applyReply(heartbeat, value, sentAtMs));
  }

  function startHeartbeat(address: string): AgentHeartbeat {
    const lapseController = new AbortController();
    // Every running attempt at the agent adds a listener; Node warns of a leak above ten listeners.
    setMaxListeners(0, lapseController.signal);
    const heartbeat: AgentHeartbeat = {
      address,
      shareCount: 0,
      lapseController,
      renewedAtMs: monotonicNowMs(),
      timer: setInterval(() => {
        void sendHeartbeat(heartbeat);
      }, intervalMs),
      inFlight: false,
    };
    activeHeartbeats.set(address, heartbeat);
    return heartbeat;
  }

  function createShare(heartbeat: AgentHeartbeat): HeartbeatShare {
    let held = true;
    heartbeat.shareCount += 1;
    return {
      lapsed: heartbeat.lapseController.signal,
      isCurrent: () => isCurrent(heartbeat),
      release() {
        if (!held) {
          return;
        }
        held = false;
        heartbeat.shareCount -= 1;
        if (heartbeat.shareCount === 0) {
          stopHeartbeat(heartbeat);
        }
      },
    };
  }

  return {
    share(address) {
      const known = activeHeartbeats.get(address);
      return createShare(known !== undefined && isCurrent(known) ? known : startHeartbeat(address));
    },
    addresses: () => [...activeHeartbeats.keys()],
    stop: () => [...activeHeartbeats.values()].forEach(stopHeartbeat),
  };
}
