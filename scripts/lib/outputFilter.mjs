/** Shows what started processes write: everything, or only warnings and what is not a log line. */

const quietLevels = ['debug', 'info'];

/** Creates a function that prints the lines worth showing, each with the name of its process. */
export function createOutputFilter({ verbose }, parseLogLine, print) {
  return (name, line) => {
    const parsed = parseLogLine(line);
    const isQuiet = parsed?.message === 'listening' || quietLevels.includes(parsed?.level);
    if (verbose || !isQuiet) {
      print(`[${name}] ${line}`);
    }
  };
}
