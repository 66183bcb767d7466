/** Runs a command of the bench and writes its table and figures. */
import { writeFile } from 'node:fs/promises';
import { assertNever } from '@bluebellhitch/shared';
import { commandNames, type BenchFlags, type CommandName } from './commandLine';
import { runCapacity } from './experiments/capacity';
import { runCeiling } from './experiments/ceiling';
import type { ExperimentContext, ExperimentReport } from './experiments/context';
import { runGoodput } from './experiments/goodput';
import { runOverhead } from './experiments/overhead';
import { runQuotaStrategies } from './experiments/quotaStrategies';
import { runReplays } from './experiments/replays';
import { runJournalReport } from './journal/journalReport';

const standardOutput = '-';

export async function runCommand(
  command: CommandName,
  flags: BenchFlags,
  context: ExperimentContext,
): Promise<void> {
  const { text, figures } = await runExperiment(command, flags, context);
  const json = `${JSON.stringify(figures, undefined, 2)}\n`;
  if (flags.json === standardOutput) {
    process.stdout.write(json);
    return;
  }
  if (flags.json !== undefined) {
    await writeFile(flags.json, json);
  }
  process.stdout.write(`${text}\n`);
}

function runExperiment(
  command: CommandName,
  flags: BenchFlags,
  context: ExperimentContext,
): Promise<ExperimentReport> {
  switch (command) {
    case commandNames.overhead:
      return runOverhead(context, flags);
    case commandNames.ceiling:
      return runCeiling(context, flags);
    case commandNames.replay:
      return runReplays(flags);
    case commandNames.quota:
      return Promise.resolve(runQuotaStrategies(flags));
    case commandNames.report:
      return runJournalReport(flags);
    case commandNames.capacity:
      return runCapacity(context, flags);
    case commandNames.goodput:
      return runGoodput(context, {
        ...flags,
        loadsPercent: flags.loads,
        faults: flags.faults.flatMap((fault) => (fault === 'none' ? [] : [fault])),
        entryCount: flags.entries,
      });
    default:
      return assertNever(command);
  }
}
