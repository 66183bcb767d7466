/** Options and figures of the overhead experiment. */
import type { ProcessUsage } from '../accounting/processUsage';
import type { Quantiles } from '../accounting/quantiles';
import type { MachineState } from './machine';

export interface OverheadOptions {
  /** Numbers of concurrent streams to measure. */
  levels: number[];
  /** Number of batches of each kind at each level. */
  repeats: number;
  promptTokens: number;
}

export interface PathTimes {
  firstTokenMs: Quantiles;
  betweenTokensMs: Quantiles;
  answerMs: Quantiles;
  failed: number;
}

/** Processor time above that of the idle process, in microseconds. */
export interface ProcessorCost {
  perRequestUs: number;
  perTokenUs: number;
}

export interface OverheadLevel {
  streams: number;
  direct: PathTimes;
  entry: PathTimes;
  entryCost: ProcessorCost;
  /** Cost of all agents together. */
  agentCost: ProcessorCost;
  peakEntryBytes: number;
  /** Peak of the agent with the largest memory. */
  peakAgentBytes: number;
  failures: string[];
}

export interface OverheadFigures {
  options: OverheadOptions;
  longTokens: number;
  idle: { entry: ProcessUsage; agent: ProcessUsage };
  levels: OverheadLevel[];
  machine: { before: MachineState; after: MachineState };
}
