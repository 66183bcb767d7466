import test from 'ava';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import { createServiceTable } from '../src/serviceTable';
import { modelDocument, plainDocument } from './support/harness';

const accepted = (base: object, generation: number) => ({
  generation,
  documentVersion: 1,
  acceptedAt: '2026-01-01T00:00:00Z',
  document: serviceDocumentSchema.parse(base),
});

// A lagging relay delivers an older document while a newer one is active. Applying it would undo an
// edit that its team saw accepted.
test('never applies a lower or equal generation', (t) => {
  const table = createServiceTable();
  t.true(table.put(accepted(modelDocument, 5)));
  t.false(table.put(accepted(modelDocument, 4)));
  t.false(table.put(accepted(modelDocument, 5)));
  t.is(table.get('draft-models')?.generation, 5);
});

test('an old document does not restore a removed service', (t) => {
  const table = createServiceTable();
  table.put(accepted(modelDocument, 5));
  table.remove('draft-models', 4);
  t.truthy(table.get('draft-models'));
  table.remove('draft-models', 5);
  t.false(table.put(accepted(modelDocument, 5)));
  t.is(table.get('draft-models'), undefined);
  t.true(table.put(accepted(modelDocument, 6)));
});

test('refuses a value that is not an accepted document', (t) => {
  t.false(createServiceTable().put({ generation: 1, document: { service: 'x' } }));
});

test('finds models by service, and by model or adapter of the service', (t) => {
  const table = createServiceTable();
  const models = [{ name: 'bond-drafter', adapters: ['letters'] }];
  table.put(accepted({ ...modelDocument, models }, 1));
  table.put(accepted(plainDocument, 1));
  t.is(table.findModel('draft-models')?.engineModel, 'bond-drafter');
  t.is(table.findModel('draft-models/letters')?.engineModel, 'letters');
  t.is(table.findModel('draft-models/other'), undefined);
  t.is(table.findModel('counter-app'), undefined);
});

test('prefers a host, then the longest prefix, then a route that names methods', (t) => {
  const table = createServiceTable();
  const routes = [
    { pathPrefix: '/' },
    { pathPrefix: '/receipts' },
    { pathPrefix: '/receipts', methods: ['POST'], repeatable: false },
    { host: 'counter.example', pathPrefix: '/' },
  ];
  table.put(accepted({ ...plainDocument, routes }, 1));
  const find = (path: string, method = 'GET', host = 'entry') => {
    const match = table.findPlain({ path, method, host });
    return match.kind === 'found'
      ? routes.findIndex((route) => matches(route, match.target.route))
      : match.kind;
  };
  t.is(find('/other'), 0);
  t.is(find('/receipts/4'), 1);
  t.is(find('/receipts', 'POST'), 2);
  t.is(find('/receipts', 'GET', 'Counter.Example:8080'), 3);
  t.true(table.hasPlainHost('counter.example:80'));
});

function matches(
  written: { pathPrefix: string; host?: string; methods?: string[] },
  found: { pathPrefix: string; host?: string; methods?: string[] },
): boolean {
  return (
    written.pathPrefix === found.pathPrefix &&
    written.host === found.host &&
    written.methods?.[0] === found.methods?.[0]
  );
}
