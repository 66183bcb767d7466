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

// A document with two mistakes must not replace the document in force, and the status must report both mistakes with
// their lines, so that the operator can fix them in one edit.
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

// The response to the acceptor's write is lost. Repeating the write without reading first would either fail forever on
// the old version or turn one edit into two generations.
for (const effect of ['applied', 'dropped', 'late'] as const) {
  test.serial(`a lost response (${effect}) makes exactly one generation of an edit`, async (t) => {
    const fixture = createAcceptorFixture();
    fixture.startAcceptor(1);
    await fixture.edit(service, valid);
    await fixture.clock.tickAsync(1000);
    fixture.platform.control.loseResponses({
      count: 1,
      verb: 'update',
      kind: 'accepted',
      effect,
      lateMs: 9,
    });
    fixture.platform.control.loseResponses({
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

// An acceptor reads the first edit and is paused. A second acceptor takes over and accepts the second edit. When the
// first one resumes, it still considers its lease valid and completes its write: the older text must not replace the
// newer one.
test.serial('a paused acceptor does not bring back an older edit', async (t) => {
  const fixture = createAcceptorFixture();
  await fixture.edit(service, valid);
  fixture.platform.control.loseResponses({
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

// An operator removes a document by mistake and creates it again. The service must not be cut off meanwhile, and if
// generations restarted, processes that have seen the higher generation would ignore every later edit.
test.serial(
  'a removed document stays in force, and its successor continues the generations',
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

test.serial('generations continue after the accepted object itself was removed', async (t) => {
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

// Two services claim the same host. The one accepted first keeps it. The status of the other names that service, and
// its document is accepted without another edit as soon as the first gives the host up.
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
