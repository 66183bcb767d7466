import test from 'ava';
import { effectiveClass, parseDocument } from '@bluebellhitch/document';

const { document } = parseDocument(
  JSON.stringify({
    apiVersion: 'bluebellhitch/v1',
    service: 'desk',
    institution: 'acme',
    kind: 'plain',
    dataCentres: ['north'],
    routes: [{}],
    classes: [{ name: 'one' }, { name: 'two', requestsPerSecond: 0.5 }],
  }),
)._unsafeUnwrap();

test('an absent or unknown class name resolves to the first class', (t) => {
  t.is(effectiveClass(document).name, 'one');
  t.is(effectiveClass(document, 'nine').name, 'one');
});

test('a rate below one request per second still has a burst of one', (t) => {
  t.like(effectiveClass(document, 'two'), { name: 'two', burst: 1 });
});
