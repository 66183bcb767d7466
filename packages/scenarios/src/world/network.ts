/** Simulated network between processes: latency, cuts, lost responses, repeated and corrupted messages. */
import type { FrameFault } from './frameFaults';

export const agentCalls = ['bid', 'reserve', 'prefill', 'cancel', 'heartbeat', 'stream'] as const;
export type AgentCall = (typeof agentCalls)[number];

export interface LostAgentResponses {
  agentId: string;
  call: AgentCall;
  /** Number of responses. */
  count: number;
}

export interface Network {
  /** One-way latency. */
  latencyMs(): number;
  setLatencyMs(latencyMs: number): void;
  /** Stops all messages between two processes until `heal`; messages sent meanwhile arrive then. */
  cut(oneId: string, otherId: string): void;
  heal(oneId: string, otherId: string): void;
  isCut(oneId: string, otherId: string): boolean;
  /** Resolves when the network between the two is not cut. */
  whenConnected(oneId: string, otherId: string): Promise<void>;
  loseResponses(lost: LostAgentResponses): void;
  /** Whether this response is lost; if so, reduces the fault's count by one. */
  takeLostResponse(agentId: string, call: AgentCall): boolean;
  /** Sets how many times each message of this call arrives. */
  setCopies(agentId: string, call: AgentCall, copies: number): void;
  copiesOf(agentId: string, call: AgentCall): number;
  corruptFrames(fault: FrameFault): void;
  frameFaultOf(agentId: string): FrameFault | undefined;
  /** Ends all faults. */
  clear(): void;
}

const defaultLatencyMs = 1.5;

export function createNetwork(): Network {
  const cuts = new Set<string>();
  const copies = new Map<string, number>();
  let latencyMs = defaultLatencyMs;
  let lost: LostAgentResponses[] = [];
  let frameFaults: FrameFault[] = [];
  let waiters: (() => void)[] = [];

  const pairKey = (oneId: string, otherId: string) => [oneId, otherId].sort().join('|');
  const isCut = (oneId: string, otherId: string) => cuts.has(pairKey(oneId, otherId));

  function whenHealed(): Promise<void> {
    return new Promise((resolve) => {
      waiters.push(resolve);
    });
  }

  function wakeAll(): void {
    const woken = waiters;
    waiters = [];
    woken.forEach((wake) => wake());
  }

  return {
    latencyMs: () => latencyMs,
    setLatencyMs: (durationMs) => {
      latencyMs = durationMs;
    },
    cut: (oneId, otherId) => cuts.add(pairKey(oneId, otherId)),
    heal: (oneId, otherId) => {
      cuts.delete(pairKey(oneId, otherId));
      wakeAll();
    },
    isCut,
    whenConnected: async (oneId, otherId) => {
      while (isCut(oneId, otherId)) {
        await whenHealed();
      }
    },
    loseResponses: (fault) => {
      lost.push({ ...fault });
    },
    takeLostResponse: (agentId, call) => {
      const found = lost.find(
        (fault) => fault.agentId === agentId && fault.call === call && fault.count > 0,
      );
      if (found === undefined) {
        return false;
      }
      found.count -= 1;
      return true;
    },
    setCopies: (agentId, call, count) => copies.set(`${agentId}/${call}`, count),
    copiesOf: (agentId, call) => copies.get(`${agentId}/${call}`) ?? 1,
    corruptFrames: (fault) => frameFaults.push(fault),
    frameFaultOf: (agentId) =>
      frameFaults.find((fault) => fault.agentId === undefined || fault.agentId === agentId),
    clear: () => {
      cuts.clear();
      copies.clear();
      lost = [];
      frameFaults = [];
      latencyMs = defaultLatencyMs;
      wakeAll();
    },
  };
}
