/** Judges ava's report: which failures are known from KNOWN-RED.txt, and why the tests count as failed. */

/** Ava leaves out the part of a title that all tests of a run share, such as the file's name. */
function isSame(known, title) {
  return known.title === title || known.title.endsWith(` › ${title}`);
}

/** `exitCode` is that of ava, or of a command that has already passed over the known failures. */
export function judgeTests({ report, exitCode }, knownRed) {
  const newFailures = report.failed.filter((title) => !knownRed.some((one) => isSame(one, title)));
  const knownFailures = knownRed.filter((one) => report.failed.some((title) => isSame(one, title)));
  const problems = newFailures.map((title) => `test failed: ${title}`);
  if (!report.isComplete() || report.passed.length + knownFailures.length === 0) {
    problems.push('the tests did not come to their end');
  }
  if (exitCode !== 0 && report.failed.length === 0) {
    problems.push(`the tests ended with exit code ${exitCode}`);
  }
  return { newFailures, knownFailures, problems };
}
