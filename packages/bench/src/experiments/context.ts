/** What every experiment gets from the command line. */
import type { StartBinaryOptions } from '../fleet/childProcess';

export interface ExperimentContext extends StartBinaryOptions {
  examplesDirectory: string;
  /** Progress, one line a call. */
  progress: (line: string) => void;
  /** Aborts on Ctrl-C; an experiment then stops its fleet and ends. */
  signal: AbortSignal;
}

/** What an experiment leaves behind: a table to read and figures to work with. */
export interface ExperimentReport {
  /** Markdown. */
  text: string;
  figures: object;
}
