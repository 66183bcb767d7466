import test from 'ava';
import { parseScenario } from '../src';

const valid = `
tells: |
  A caller asks and gets its answer.
  Nothing fails.
world:
  services:
    draft-models: { workers: [both] }
steps:
  - send: { name: letter, to: entry-1 }
  - advance: 1000
  - expect:
      - answer: { of: letter, is: whole }
`;

test('parses steps and expectations with their lines and defaults', (t) => {
  const scenario = parseScenario(valid)._unsafeUnwrap();
  t.is(scenario.world.entries, 1);
  t.deepEqual(
    scenario.steps.map(({ verb, line }) => [verb, line]),
    [
      ['send', 9],
      ['advance', 10],
      ['expect', 11],
    ],
  );
  const [send] = scenario.steps;
  t.like(send, { input: { name: 'letter', marked: false, promptTokens: 40, times: 1 } });
});

test('reports all findings of a file, in the order of their lines', (t) => {
  const text = valid
    .replace('workers: [both]', 'workers: [baker]')
    .replace('advance: 1000', 'advance: soon')
    .replace('- send:', '- shout:')
    .replace('is: whole', 'is: tasty');
  const findings = parseScenario(text)._unsafeUnwrapErr();
  t.deepEqual(
    findings.map(({ line, path }) => [line, path]),
    [
      [7, 'world.services.draft-models.workers.0'],
      [9, 'steps.0'],
      [10, 'steps.1.advance'],
      [12, 'steps.2.expect.0.answer.is'],
    ],
  );
});

test('requires a description of two to five lines', (t) => {
  const findings = parseScenario(valid.replace('  Nothing fails.\n', ''))._unsafeUnwrapErr();
  t.like(findings, { length: 1, 0: { path: 'tells', line: 2 } });
});

test('reports YAML syntax errors with their lines', (t) => {
  const findings = parseScenario('tells: "open\nsteps: [')._unsafeUnwrapErr();
  t.true(findings.length > 0);
  t.true(findings.every(({ line }) => line !== undefined));
});
