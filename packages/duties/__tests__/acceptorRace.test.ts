import test from 'ava';
import fc from 'fast-check';
import { acceptedDocumentSchema } from '@bluebellhitch/document';
import type { StoredObject } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import {
  createAcceptedHistory,
  createAcceptorFixture,
  plainDocument,
  type AcceptorFixture,
  type RunningAcceptor,
} from './helpers/acceptorFixture';

const services = ['counter-app', 'pit-desk'] as const;
type Service = (typeof services)[number];
type AcceptorPair = [RunningAcceptor, RunningAcceptor];

const verbs = ['create', 'update', 'get', 'list', 'watch'] as const;

type Command =
  | { kind: 'edit'; service: Service; timeoutMs: number; valid: boolean }
  | { kind: 'remove'; service: Service }
  | { kind: 'lease'; acceptor: 0 | 1; held: boolean }
  | { kind: 'lose'; verb: (typeof verbs)[number]; effect: 'applied' | 'dropped' | 'late' }
  | { kind: 'outage'; on: boolean }
  | { kind: 'compact' }
  | { kind: 'advance'; durationMs: number };

const edit = fc.record({
  kind: fc.constant('edit' as const),
  service: fc.constantFrom(...services),
  timeoutMs: fc.integer({ min: 1, max: 5 }).map((seconds) => seconds * 1000),
  valid: fc.integer({ min: 0, max: 3 }).map((roll) => roll > 0),
});
const advance = fc.record({
  kind: fc.constant('advance' as const),
  durationMs: fc.integer({ min: 1, max: 400 }),
});
const lose = fc.record({
  kind: fc.constant('lose' as const),
  verb: fc.constantFrom(...verbs),
  effect: fc.constantFrom('applied' as const, 'dropped' as const, 'late' as const),
});
const lease = fc.record({
  kind: fc.constant('lease' as const),
  acceptor: fc.constantFrom(0 as const, 1 as const),
  held: fc.boolean(),
});
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 6, arbitrary: edit },
  { weight: 6, arbitrary: advance },
  { weight: 3, arbitrary: lose },
  { weight: 2, arbitrary: lease },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('remove' as const),
      service: fc.constantFrom(...services),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), on: fc.boolean() }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'compact' as const }) },
);

// Operators edit documents while both acceptors consider their lease valid and the platform loses responses and has
// outages. Every process applies what is accepted, so a generation that decreases or is used twice, or an invalid
// document, would put different configurations in force in different processes.
test.serial(
  'racing acceptors: generations rise by one and every accepted document is valid',
  async (t) => {
    let writes = 0;
    const property = fc.asyncProperty(
      fc.array(command, { minLength: 20, maxLength: 80 }),
      fc.integer(),
      async (commands, seed) => {
        const random = createSeededRandom(seed);
        const fixture = createAcceptorFixture({ latencyMs: 2, jitterMs: 20, random });
        const acceptors: AcceptorPair = [fixture.startAcceptor(1), fixture.startAcceptor(2)];
        const observed = createAcceptedHistory(fixture.platform);
        try {
          for (const next of commands) {
            await perform(next, fixture, acceptors, () => fixture.settle(observed.collect()));
          }
          await settleEverything(fixture, acceptors);
          await fixture.settle(observed.collect());
          writes += observed.history.length;
          const complete = commands.every(({ kind }) => kind !== 'compact');
          services.forEach((service) => assertHistory(service, observed.history, complete));
          for (const service of services) {
            await assertConverged(service, fixture);
          }
        } finally {
          await fixture.close();
        }
      },
    );
    await fc.assert(property, { seed: 20_260, numRuns: 150, includeErrorInReport: true });
    t.log(`${writes} accepted writes`);
    t.true(writes > 500);
  },
);

async function perform(
  next: Command,
  fixture: AcceptorFixture,
  acceptors: AcceptorPair,
  collect: () => Promise<void>,
): Promise<void> {
  const { control } = fixture.platform;
  switch (next.kind) {
    case 'edit':
      await operatorCall(fixture, () => fixture.edit(next.service, textOf(next)));
      return;
    case 'remove':
      await operatorCall(fixture, () => fixture.removeDocument(next.service));
      return;
    case 'lease':
      acceptors[next.acceptor].lease.fencingNumber = next.held ? next.acceptor + 1 : undefined;
      return;
    case 'lose':
      control.loseResponses({ count: 1, verb: next.verb, effect: next.effect, lateMs: 150 });
      return;
    case 'outage':
      control.setOutage(next.on);
      return;
    case 'compact':
      await operatorCall(fixture, collect);
      control.compact();
      return;
    case 'advance':
      await fixture.clock.tickAsync(next.durationMs);
      return;
    default:
      next satisfies never;
  }
}

/** The operator's own calls may fail because of the injected faults; their result is not under test. */
async function operatorCall(fixture: AcceptorFixture, call: () => Promise<unknown>): Promise<void> {
  fixture.platform.control.setOutage(false);
  await call().catch(() => undefined);
}

function textOf({ service, timeoutMs, valid }: Extract<Command, { kind: 'edit' }>): string {
  const text = plainDocument(service, `${service}.example`, timeoutMs);
  return valid ? text : text.replace('kind: plain', 'kind: plane');
}

async function settleEverything(fixture: AcceptorFixture, acceptors: AcceptorPair) {
  fixture.platform.control.clearFaults();
  acceptors[0].lease.fencingNumber = undefined;
  await fixture.clock.tickAsync(1000);
  acceptors[1].lease.fencingNumber = 3;
  await fixture.clock.tickAsync(11_000);
}

function assertHistory(service: string, history: StoredObject[], complete: boolean): void {
  const own = history
    .filter(({ key }) => key === service)
    .map(({ value }) => acceptedDocumentSchema.parse(value));
  own.forEach((accepted, index) => {
    const previous = own[index - 1];
    const step = accepted.generation - (previous?.generation ?? 0);
    // After a compaction the test has not seen all values.
    if (complete ? step !== 1 : step < 1) {
      throw new Error(
        `${service}: generation ${accepted.generation} after ${previous?.generation}`,
      );
    }
    if (accepted.documentVersion <= (previous?.documentVersion ?? 0)) {
      throw new Error(
        `${service}: version ${accepted.documentVersion} after ${previous?.documentVersion}`,
      );
    }
  });
}

async function assertConverged(service: string, fixture: AcceptorFixture): Promise<void> {
  const document = await fixture.settle(fixture.platform.get('document', service));
  if (document.isErr()) {
    return;
  }
  const status = await fixture.status(service);
  if (status?.documentVersion !== document.value.version) {
    throw new Error(`${service}: status ${JSON.stringify(status)} for ${document.value.version}`);
  }
  const accepted = await fixture.accepted(service);
  if (status.generation !== (accepted?.generation ?? 0)) {
    throw new Error(
      `${service}: status says ${status.generation}, in force is ${accepted?.generation}`,
    );
  }
}
