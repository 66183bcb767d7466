/** What the overhead experiment finds, for its report and for later work with the figures. */
import type { ProcessUsage } from '../accounting/processUsage';
import type { Quantiles } from '../accounting/quantiles';
import type { MachineState } from './machine';

export interface OverheadOptions {
  /** Streams at once. */
  levels: number[];
  /** Batches of each kind at each level. */
  repeats: number;
  promptTokens: number;
}

export interface PathTimes {
  firstTokenMs: Quantiles;
  betweenTokensMs: Quantiles;
  answerMs: Quantiles;
  failed: number;
}

/** Processor time beyond that of the idle process, in microseconds. */
export interface ProcessorCost {
  perRequestUs: number;
  perTokenUs: number;
}

export interface OverheadLevel {
  streams: number;
  direct: PathTimes;
  entry: PathTimes;
  entryCost: ProcessorCost;
  /** Of all agents together. */
  agentCost: ProcessorCost;
  peakEntryBytes: number;
  /** Of the largest agent. */
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
