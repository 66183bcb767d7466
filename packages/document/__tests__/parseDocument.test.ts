import test from 'ava';
import { parseDocument } from '@bluebellhitch/document';

const plainLines = [
  'apiVersion: bluebellhitch/v1',
  'service: desk',
  'institution: acme',
  'kind: plain',
  'dataCentres: [north]',
  'routes:',
  '  - pathPrefix: /desk',
];

function findingsOf(lines: string[], fileName = 'desk.yaml') {
  const parsed = parseDocument(lines.join('\n'), { fileName });
  return parsed.isErr() ? parsed.error : [];
}

function firstMessage(lines: string[], fileName?: string) {
  return findingsOf(lines, fileName)[0]?.message ?? '';
}

function problemsOf(lines: string[]) {
  return findingsOf(lines).map(({ path, message }) => `${path}: ${message}`);
}

test('fills in the defaults of a small document', (t) => {
  const { document, findings } = parseDocument(plainLines.join('\n'))._unsafeUnwrap();
  t.deepEqual(findings, []);
  t.is(document.classes[0]?.name, 'standard');
  t.is(document.limits.requestTimeoutMs, 60_000);
  t.true(document.routes[0]?.repeatable);
});

test('reports all findings at once, in the order of the text and with their positions', (t) => {
  const findings = findingsOf([
    'apiVersion: bluebellhitch/v1',
    'service: Bad_Name',
    'kind: modle',
    'dataCentres: [a, a]',
    'classes:',
    '  - name: x',
    '    wieght: 3',
    '    burst: 5',
    'drain: { boundMs: 10 }',
    'models:',
    '  - name: m',
    '    version: 1',
  ]);
  t.deepEqual(
    findings.map(({ path, line, column }) => [path, line, column]),
    [
      ['institution', 1, 1],
      ['service', 2, 10],
      ['kind', 3, 7],
      ['dataCentres[1]', 4, 18],
      ['classes[0].wieght', 7, 5],
      ['drain.boundMs', 9, 19],
      ['models[0].version', 12, 14],
    ],
  );
  t.is(findings[0]?.message, 'required field is missing');
  t.is(findings[4]?.hint, 'did you mean weight?');
  t.is(findings[6]?.hint, 'write it in quotes');
});

test('lists the known fields if no name is similar', (t) => {
  const [finding] = findingsOf([...plainLines, 'retry:', '  xylophone: 1']);
  t.is(finding?.path, 'retry.xylophone');
  t.is(finding?.hint, 'known: maxAttempts, budgetRatio, backoffMs');
});

test('rejects violations of rules between fields', (t) => {
  t.deepEqual(problemsOf([...plainLines, '  - { pathPrefix: /desk, methods: [GET] }']), [
    'routes[1]: matches the same calls as routes[0]',
  ]);
  t.deepEqual(problemsOf(plainLines.slice(0, 5)), [
    'routes: a service of kind plain needs at least one route',
  ]);
  const model = plainLines.map((line) => line.replace('plain', 'model'));
  t.deepEqual(problemsOf(model), [
    'models: a service of kind model needs at least one model',
    'routes: a service of kind model has no routes',
  ]);
  t.deepEqual(problemsOf([...plainLines, 'classes: [{ name: a }, { name: b }, { name: a }]']), [
    'classes[2]: a repeats classes[0]',
  ]);
  t.deepEqual(problemsOf([...plainLines, 'quarantine: { release: [f1], block: [f1] }']), [
    'quarantine.release[0]: f1 is in quarantine.block as well',
  ]);
});

test('names of models and adapters must be distinct, because callers select both by name', (t) => {
  const model = plainLines.slice(0, 5).map((line) => line.replace('plain', 'model'));
  const models = ['models:', '  - { name: m, adapters: [x] }', '  - { name: n, adapters: [m, x] }'];
  t.deepEqual(problemsOf([...model, ...models]), [
    'models[1].adapters[0]: m repeats models[0]',
    'models[1].adapters[1]: x repeats models[0].adapters[0]',
  ]);
});

test('routes of one path that differ in method or host do not conflict', (t) => {
  const lines = [
    ...plainLines.slice(0, 5),
    'routes:',
    '  - { pathPrefix: /desk, methods: [GET] }',
    '  - { pathPrefix: /desk, methods: [POST], repeatable: false }',
    '  - { pathPrefix: /desk, host: desk.example }',
  ];
  t.deepEqual(findingsOf(lines), []);
});

test('warnings about fields without effect do not reject the document', (t) => {
  const text = [...plainLines, 'weights: { goodput: 2 }'].join('\n');
  const { findings } = parseDocument(text)._unsafeUnwrap();
  t.deepEqual(findings, [
    { path: 'weights', line: 8, column: 10, message: 'has no effect on a service of kind plain' },
  ]);
});

test('invalid YAML, several documents and a non-map value are reported as findings', (t) => {
  t.like(findingsOf(['service: [a'])[0], { path: 'document', line: 1 });
  t.regex(firstMessage(['a: 1', '---', 'b: 2']), /multiple documents/);
  t.is(findingsOf(['hello'])[0]?.path, 'document');
  t.true(findingsOf(['']).length > 0);
});

test('a duplicate field is reported together with other findings', (t) => {
  const paths = findingsOf([...plainLines, 'kind: plain', 'extra: 1']).map(({ line }) => line);
  t.deepEqual(paths, [8, 9]);
});

// A few lines of nested aliases expand to billions of values. The parser's alias limit must turn them into
// a finding before the process runs out of memory.
test('an alias bomb is rejected', (t) => {
  const levels = Array.from({ length: 12 }, (_, level) => {
    const items =
      level === 0
        ? 'x, x, x'
        : Array(9)
            .fill(`*a${level - 1}`)
            .join(', ');
    return `l${level}: &a${level} [${items}]`;
  });
  t.regex(firstMessage(levels), /alias/);
});

test('reads JSON, and requires a .json file to be JSON', (t) => {
  const value = {
    apiVersion: 'bluebellhitch/v1',
    service: 'desk',
    institution: 'acme',
    kind: 'plain',
    dataCentres: ['north'],
    routes: [{ pathPrefix: '/desk' }],
  };
  t.true(parseDocument(JSON.stringify(value, null, 2), { fileName: 'desk.json' }).isOk());
  t.regex(firstMessage(plainLines, 'desk.json'), /is not JSON/);
});
