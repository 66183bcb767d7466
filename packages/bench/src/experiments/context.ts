/** Input and result types that all experiments share. */
import type { StartBinaryOptions } from '../fleet/childProcess';

export interface ExperimentContext extends StartBinaryOptions {
  examplesDirectory: string;
  /** Reports progress, one line per call. */
  progress: (line: string) => void;
  /** Aborts on SIGINT and SIGTERM; an experiment then stops its fleet and returns. */
  signal: AbortSignal;
}

/** Result of an experiment, as a table and as data. */
export interface ExperimentReport {
  /** Markdown. */
  text: string;
  figures: object;
}
