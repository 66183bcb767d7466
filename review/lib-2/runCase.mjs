/**
 * Runs one case of the second review: writes what was sent, answered and run to `record.txt` in the case's folder, and
 * exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export const exitCodes = { held: 0, broken: 1, couldNotRun: 2 };
/** A case may take 120 s; a start that hangs must not exceed that. */
const maxDurationMs = 115_000;

/**
 * `hasTrouble` says whether the case is played with its disruption. `play` gets `record`, and resolves with the lines that
 * say how the rule was broken; none if it held. It has to end all that it started, also if it fails: it registers the
 * functions for that with `onEnd`.
 */
export async function runCase({ folder, hasTrouble, play }) {
  const startedAtMs = performance.now();
  const lines = [];
  const closers = [];
  const record = (text) => {
    lines.push(`${(performance.now() - startedAtMs).toFixed(1)} ms ${text}`);
  };
  const timer = setTimeout(() => {
    void finish(exitCodes.couldNotRun, ['the case took too long']);
  }, maxDurationMs);

  async function finish(code, verdict) {
    clearTimeout(timer);
    await Promise.all(closers.map((close) => close()));
    const result = Object.keys(exitCodes).find((name) => exitCodes[name] === code);
    const summary = [
      `result: ${result}, ${hasTrouble ? 'with' : 'without'} the disruption`,
      ...verdict,
    ];
    writeFileSync(join(folder, 'record.txt'), `${[...summary, '', ...lines].join('\n')}\n`);
    process.stdout.write(`${summary.join('\n')}\n`);
    process.exit(code);
  }

  try {
    const verdict = await play({ record, onEnd: (close) => closers.push(close) });
    await finish(verdict.broken.length > 0 ? exitCodes.broken : exitCodes.held, [
      ...verdict.broken,
      ...verdict.counts,
    ]);
  } catch (error) {
    await finish(exitCodes.couldNotRun, [String(error?.stack ?? error)]);
  }
}
