/** Formats the decision records of a world's entries for the log of a failed test. */
import type { World } from '../../src';

const maxRecords = 20;
const maxDetailLength = 240;

export function decisionRecords(world: World): string[] {
  return [...world.entries.values()].flatMap((entry) =>
    entry
      .core()
      .context.ring.recent(maxRecords)
      .flatMap(({ requestId, outcome, steps }) => [
        `${entry.instance.id} ${requestId}: ${outcome}`,
        ...steps.map(
          ({ atMs, kind, detail }) =>
            `  ${atMs} ${kind} ${JSON.stringify(detail).slice(0, maxDetailLength)}`,
        ),
      ]),
  );
}
