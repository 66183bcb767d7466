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

test('an absent or unknown class name means the first class', (t) => {
  t.is(effectiveClass(document).name, 'one');
  t.is(effectiveClass(document, 'nine').name, 'one');
});

test('a slow rate still admits one request', (t) => {
  t.like(effectiveClass(document, 'two'), { name: 'two', burst: 1 });
});
