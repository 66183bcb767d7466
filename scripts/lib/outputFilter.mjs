/** Filters the output of started processes: everything, or only warnings, errors and lines that are not log lines. */

const hiddenLevels = ['debug', 'info'];

/** Creates a function that prints the lines that pass the filter, prefixed with the name of their process. */
export function createOutputFilter({ verbose }, parseLogLine, print) {
  return (name, line) => {
    const parsed = parseLogLine(line);
    const isHidden = parsed?.message === 'listening' || hiddenLevels.includes(parsed?.level);
    if (verbose || !isHidden) {
      print(`[${name}] ${line}`);
    }
  };
}
