/** Reads ava's TAP output line by line. */

const resultPattern = /^(not ok|ok) \d+ - (.*?)(?: # (SKIP|TODO).*)?$/;
const planPattern = /^1\.\.\d+$/;

/** Creates a report that is updated with each line. */
export function createTapReport() {
  const passed = [];
  const failed = [];
  const skipped = [];
  let isComplete = false;

  function listFor(verdict, directive) {
    if (directive !== undefined) {
      return skipped;
    }
    return verdict === 'ok' ? passed : failed;
  }

  return {
    addLine(line) {
      isComplete ||= planPattern.test(line);
      const match = resultPattern.exec(line);
      if (match !== null) {
        const [, verdict, title, directive] = match;
        listFor(verdict, directive).push(title);
      }
    },
    /** Whether ava finished; an incomplete report does not show that the tests passed. */
    isComplete: () => isComplete,
    passed,
    failed,
    skipped,
  };
}
