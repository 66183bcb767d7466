import test from 'ava';
import { createAcceptorFixture, plainDocument } from './helpers/acceptorFixture';

const service = 'counter-app';
const valid = plainDocument(service, 'counter.example');
const changed = plainDocument(service, 'counter.example', 20_000);
const invalid = valid.replace('kind: plain', 'kind: plane').replace('institution', 'institutoin');

test.serial(
  'an edit is accepted within a second, and one of layout only makes no generation',
  async (t) => {
    const fixture = createAcceptorFixture();
    fixture.startAcceptor(1);
    await fixture.clock.tickAsync(1000);
    await fixture.edit(service, valid);
    await fixture.clock.tickAsync(100);
    t.is((await fixture.accepted(service))?.generation, 1);
    const version = await fixture.edit(service, `# a comment\n${valid}`);
    await fixture.clock.tickAsync(100);
    t.is((await fixture.accepted(service))?.generation, 1);
    t.like(await fixture.status(service), {
      documentVersion: version,
      state: 'accepted',
      generation: 1,
    });
    await fixture.edit(service, changed);
    await fixture.clock.tickAsync(100);
    t.is((await fixture.accepted(service))?.generation, 2);
    await fixture.close();
  },
);

// The operator saves a document with two mistakes. Every process must keep what is in force, and the
// status must name both mistakes with their lines, so that the operator mends them in one go.
test.serial('an invalid edit leaves the last accepted document in force', async (t) => {
  const fixture = createAcceptorFixture();
  fixture.startAcceptor(1);
  await fixture.edit(service, valid);
  await fixture.clock.tickAsync(1000);
  const before = await fixture.accepted(service);
  await fixture.edit(service, invalid);
  await fixture.clock.tickAsync(1000);
  t.deepEqual(await fixture.accepted(service), before);
  const status = await fixture.status(service);
  t.like(status, { state: 'rejected', generation: 1 });
  t.true((status?.findings.length ?? 0) >= 2);
  t.true(status?.findings.every((finding) => finding.line !== undefined));
  await fixture.edit(service, changed);
  await fixture.clock.tickAsync(1000);
  t.is((await fixture.accepted(service))?.generation, 2);
  t.like(await fixture.status(service), { state: 'accepted', generation: 2, findings: [] });
  await fixture.close();
});

// The platform applies the acceptor's write, but the answer never comes. Writing again blindly would
// either fail for ever on the old version or count one edit as two generations.
for (const effect of ['applied', 'dropped', 'late'] as const) {
  test.serial(`a lost answer (${effect}) makes exactly one generation of an edit`, async (t) => {
    const fixture = createAcceptorFixture();
    fixture.startAcceptor(1);
    await fixture.edit(service, valid);
    await fixture.clock.tickAsync(1000);
    fixture.platform.control.loseAnswers({
      count: 1,
      verb: 'update',
      kind: 'accepted',
      effect,
      lateMs: 9,
    });
    fixture.platform.control.loseAnswers({
      count: 1,
      verb: 'update',
      kind: 'status',
      effect,
      lateMs: 9,
    });
    const version = await fixture.edit(service, changed);
    await fixture.clock.tickAsync(2000);
    t.like(await fixture.accepted(service), { generation: 2, documentVersion: version });
    t.like(await fixture.status(service), { generation: 2, documentVersion: version });
    await fixture.close();
  });
}

// The holder reads the first edit and is paused. A second acceptor takes over and accepts the second
// edit. When the first one wakes up, it still believes in its lease and finishes its write: the older
// text must not replace the newer one.
test.serial('a paused acceptor does not bring back an older edit', async (t) => {
  const fixture = createAcceptorFixture();
  await fixture.edit(service, valid);
  fixture.platform.control.loseAnswers({
    count: 1,
    verb: 'create',
    kind: 'accepted',
    effect: 'late',
    lateMs: 3000,
  });
  const paused = fixture.startAcceptor(1);
  await fixture.clock.tickAsync(15);
  paused.lease.fencingNumber = undefined;
  const version = await fixture.edit(service, changed);
  fixture.startAcceptor(2);
  await fixture.clock.tickAsync(1000);
  t.like(await fixture.accepted(service), { generation: 1, documentVersion: version });
  paused.lease.fencingNumber = 1;
  await fixture.clock.tickAsync(5000);
  t.like(await fixture.accepted(service), { generation: 1, documentVersion: version });
  t.is((await fixture.accepted(service))?.document.limits.requestTimeoutMs, 20_000);
  await fixture.close();
});

// An operator removes a document by mistake and writes it anew. Were the service cut off or the count
// begun again, processes that have seen the higher generation would ignore every later edit.
test.serial(
  'a removed document stays in force, and its successor continues the count',
  async (t) => {
    const fixture = createAcceptorFixture();
    fixture.startAcceptor(1);
    await fixture.edit(service, valid);
    await fixture.clock.tickAsync(1000);
    await fixture.removeDocument(service);
    await fixture.clock.tickAsync(1000);
    t.is((await fixture.accepted(service))?.generation, 1);
    t.regex(
      (await fixture.status(service))?.findings[0]?.message ?? '',
      /removed; generation 1 stays/,
    );
    await fixture.edit(service, changed);
    await fixture.clock.tickAsync(1000);
    t.is((await fixture.accepted(service))?.generation, 2);
    await fixture.close();
  },
);

test.serial('the count continues after somebody removed the accepted object itself', async (t) => {
  const fixture = createAcceptorFixture();
  fixture.startAcceptor(1);
  await fixture.edit(service, valid);
  await fixture.clock.tickAsync(1000);
  const stored = (await fixture.settle(fixture.platform.get('accepted', service)))._unsafeUnwrap();
  await fixture.settle(fixture.platform.remove('accepted', service, stored.version));
  await fixture.edit(service, changed);
  await fixture.clock.tickAsync(1000);
  t.is((await fixture.accepted(service))?.generation, 2);
  await fixture.close();
});

test.serial('edits made during an outage are accepted when it ends', async (t) => {
  const fixture = createAcceptorFixture();
  fixture.startAcceptor(1);
  await fixture.edit(service, valid);
  await fixture.clock.tickAsync(1000);
  fixture.platform.control.setOutage(true);
  await fixture.clock.tickAsync(60_000);
  fixture.platform.control.setOutage(false);
  await fixture.edit(service, changed);
  fixture.platform.control.compact();
  await fixture.clock.tickAsync(1000);
  t.is((await fixture.accepted(service))?.generation, 2);
  await fixture.close();
});

// Two teams claim the same host. The first accepted one keeps it; the second is told whose it is and
// comes into force by itself as soon as the first lets go.
test.serial(
  'a route belongs to one service, and a blocked edit is accepted when it is free',
  async (t) => {
    const fixture = createAcceptorFixture();
    fixture.startAcceptor(1);
    await fixture.edit(service, valid);
    await fixture.clock.tickAsync(1000);
    await fixture.edit('pit-desk', plainDocument('pit-desk', 'Counter.example'));
    await fixture.clock.tickAsync(1000);
    t.is(await fixture.accepted('pit-desk'), undefined);
    t.regex(
      (await fixture.status('pit-desk'))?.findings[0]?.message ?? '',
      /"counter-app" already/,
    );
    await fixture.edit(service, plainDocument(service, 'desk.example'));
    await fixture.clock.tickAsync(1000);
    t.is((await fixture.accepted('pit-desk'))?.generation, 1);
    await fixture.close();
  },
);

test.serial('a document that names another service is rejected', async (t) => {
  const fixture = createAcceptorFixture();
  fixture.startAcceptor(1);
  await fixture.edit(service, plainDocument('pit-desk', 'counter.example'));
  await fixture.clock.tickAsync(1000);
  t.is(await fixture.accepted(service), undefined);
  t.like(await fixture.status(service), { state: 'rejected', generation: 0 });
  await fixture.close();
});
