/** What the entries of a world decided, as text for a failed test. */
import type { World } from '../../src';

const recordLimit = 20;
const detailLimit = 240;

export function decisionRecords(world: World): string[] {
  return [...world.entries.values()].flatMap((entry) =>
    entry
      .core()
      .context.ring.recent(recordLimit)
      .flatMap(({ requestId, outcome, steps }) => [
        `${entry.instance.id} ${requestId}: ${outcome}`,
        ...steps.map(
          ({ atMs, kind, detail }) =>
            `  ${atMs} ${kind} ${JSON.stringify(detail).slice(0, detailLimit)}`,
        ),
      ]),
  );
}
