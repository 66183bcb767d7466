import test from 'ava';
import { diffDocuments, parseDocument, type ServiceDocument } from '@bluebellhitch/document';

function createDocument(changes: Record<string, unknown> = {}): ServiceDocument {
  const fields = {
    apiVersion: 'bluebellhitch/v1',
    service: 'desk',
    institution: 'acme',
    kind: 'plain',
    dataCentres: ['north', 'south'],
    routes: [{ pathPrefix: '/a' }, { pathPrefix: '/b' }],
    classes: [{ name: 'one' }, { name: 'two' }],
    ...changes,
  };
  return parseDocument(JSON.stringify(fields))._unsafeUnwrap().document;
}

test('reports the path and both values of each change', (t) => {
  const after = createDocument({
    dataCentres: ['north', 'east'],
    classes: [{ name: 'one', weight: 3 }, { name: 'three' }],
    retry: { maxAttempts: 2 },
  });
  const changes = diffDocuments(createDocument(), after);
  t.deepEqual(
    changes.map(({ path }) => path),
    [
      'dataCentres[south]',
      'dataCentres[east]',
      'classes[one].weight',
      'classes[two]',
      'classes[three]',
      'retry.maxAttempts',
    ],
  );
  t.deepEqual(changes.at(-1), { path: 'retry.maxAttempts', before: 3, after: 2 });
  t.deepEqual(changes[0], { path: 'dataCentres[south]', before: 'south' });
});

test('a change of order is reported for classes, and not for lists whose order has no meaning', (t) => {
  const reordered = createDocument({
    dataCentres: ['south', 'north'],
    routes: [{ pathPrefix: '/b' }, { pathPrefix: '/a' }],
  });
  t.deepEqual(diffDocuments(createDocument(), reordered), []);
  const classes = createDocument({ classes: [{ name: 'two' }, { name: 'one' }] });
  t.deepEqual(diffDocuments(createDocument(), classes), [
    { path: 'classes (order)', before: ['one', 'two'], after: ['two', 'one'] },
  ]);
});
