/** What the network between entries and agents does to messages: latency, cuts, lost answers. */
import type { FrameFault } from './frameFaults';

export const agentCalls = ['bid', 'reserve', 'prefill', 'cancel', 'heartbeat', 'stream'] as const;
export type AgentCall = (typeof agentCalls)[number];

export interface LostAgentAnswers {
  agentId: string;
  call: AgentCall;
  /** How many answers. */
  count: number;
}

export interface Network {
  /** One way. */
  latencyMs(): number;
  setLatencyMs(latencyMs: number): void;
  /** Nothing passes between two processes until `heal`; what was sent arrives then. */
  cut(oneId: string, otherId: string): void;
  heal(oneId: string, otherId: string): void;
  isCut(oneId: string, otherId: string): boolean;
  /** Resolves when messages pass between the two. */
  untilOpen(oneId: string, otherId: string): Promise<void>;
  loseAnswers(lost: LostAgentAnswers): void;
  /** Whether this answer is lost; used up by one. */
  takeLostAnswer(agentId: string, call: AgentCall): boolean;
  /** Each message arrives this many times. */
  setCopies(agentId: string, call: AgentCall, copies: number): void;
  copiesOf(agentId: string, call: AgentCall): number;
  corruptFrames(fault: FrameFault): void;
  frameFaultOf(agentId: string): FrameFault | undefined;
  /** Ends all faults. */
  clear(): void;
}

const usualLatencyMs = 1.5;

export function createNetwork(): Network {
  const cuts = new Set<string>();
  const copies = new Map<string, number>();
  let latencyMs = usualLatencyMs;
  let lost: LostAgentAnswers[] = [];
  let frameFaults: FrameFault[] = [];
  let waiters: (() => void)[] = [];

  const pairOf = (oneId: string, otherId: string) => [oneId, otherId].sort().join('|');
  const isCut = (oneId: string, otherId: string) => cuts.has(pairOf(oneId, otherId));

  function untilHealed(): Promise<void> {
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
    cut: (oneId, otherId) => cuts.add(pairOf(oneId, otherId)),
    heal: (oneId, otherId) => {
      cuts.delete(pairOf(oneId, otherId));
      wakeAll();
    },
    isCut,
    untilOpen: async (oneId, otherId) => {
      while (isCut(oneId, otherId)) {
        await untilHealed();
      }
    },
    loseAnswers: (fault) => {
      lost.push({ ...fault });
    },
    takeLostAnswer: (agentId, call) => {
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
      latencyMs = usualLatencyMs;
      wakeAll();
    },
  };
}
