/** Parses a scenario file. Reports all findings together, each with its line. */
import { err, ok, type Result } from 'neverthrow';
import { isNode, LineCounter, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import type { Finding } from '@bluebellhitch/shared';
import {
  expectationSchemas,
  scenarioSchema,
  stepSchemas,
  type Expectation,
  type Scenario,
  type Step,
} from './scenarioSchema';

type Path = readonly (string | number)[];

interface Source {
  value: unknown;
  lineOf(path: Path): number;
}

/** A valid value, or the findings about it. */
type Checked<Value> = Result<Value, Finding[]>;

const descriptionLines = { min: 2, max: 5 } as const;

export function parseScenario(text: string): Result<Scenario, Finding[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, prettyErrors: false });
  if (document.errors.length > 0) {
    return err(
      document.errors.map(({ message, pos }) => ({
        path: 'scenario',
        line: lineCounter.linePos(pos[0]).line,
        message,
      })),
    );
  }
  return checkScenario(createSource(document, lineCounter));
}

function createSource(document: Document, lineCounter: LineCounter): Source {
  const lineOf = (path: Path): number => {
    const node = path.length === 0 ? document.contents : document.getIn(path, true);
    if (isNode(node) && node.range) {
      return lineCounter.linePos(node.range[0]).line;
    }
    return path.length === 0 ? 1 : lineOf(path.slice(0, -1));
  };
  return { value: document.toJS(), lineOf };
}

function checkScenario(source: Source): Checked<Scenario> {
  const head = checkValue(scenarioSchema, source, []);
  const givenSteps = (source.value as { steps?: unknown } | null)?.steps;
  const steps = (Array.isArray(givenSteps) ? givenSteps : []).map((step, index) =>
    checkStep(step, source, ['steps', index]),
  );
  const findings = [
    ...head.match(checkDescription(source), (found) => found),
    ...steps.flatMap((step) =>
      step.match(
        () => [],
        (found) => found,
      ),
    ),
  ];
  if (head.isErr() || findings.length > 0) {
    return err(findings.sort((left, right) => (left.line ?? 0) - (right.line ?? 0)));
  }
  return ok({ ...head.value, steps: steps.flatMap((step) => step.unwrapOr([])) });
}

function checkDescription(source: Source): (scenario: { tells: string }) => Finding[] {
  return ({ tells }) => {
    const lineCount = tells.trim().split('\n').length;
    return lineCount >= descriptionLines.min && lineCount <= descriptionLines.max
      ? []
      : [
          {
            path: 'tells',
            line: source.lineOf(['tells']),
            message: `has ${lineCount} lines; ${descriptionLines.min} to ${descriptionLines.max} are expected`,
          },
        ];
  };
}

function checkStep(step: unknown, source: Source, path: Path): Checked<Step[]> {
  return checkTagged(stepSchemas, step, source, path).andThen(({ tag, input, line }) =>
    tag === 'expect'
      ? checkExpectations(input as unknown[], source, [...path, tag]).map(
          (expectations): Step[] => [{ verb: 'expect', line, input: expectations }],
        )
      : ok([{ verb: tag, line, input } as Step]),
  );
}

function checkExpectations(
  inputs: readonly unknown[],
  source: Source,
  path: Path,
): Checked<Expectation[]> {
  const checked = inputs.map((input, index) =>
    checkTagged(expectationSchemas, input, source, [...path, index]).map(
      ({ tag, input: asked, line }) => ({ kind: tag, line, input: asked }) as Expectation,
    ),
  );
  const findings = checked.flatMap((each) =>
    each.match(
      () => [],
      (found) => found,
    ),
  );
  return findings.length > 0
    ? err(findings)
    : ok(
        checked.flatMap((each) =>
          each.match(
            (expectation) => [expectation],
            () => [],
          ),
        ),
      );
}

/** Checks a map with one field, whose name selects the schema of its value. */
function checkTagged<Schemas extends Record<string, z.ZodType>>(
  schemas: Schemas,
  value: unknown,
  source: Source,
  path: Path,
): Checked<{ tag: keyof Schemas & string; input: unknown; line: number }> {
  const line = source.lineOf(path);
  const tags = typeof value === 'object' && value !== null ? Object.keys(value) : [];
  const [tag] = tags;
  const schema = tag === undefined ? undefined : schemas[tag];
  if (tag === undefined || tags.length > 1 || schema === undefined) {
    const known = Object.keys(schemas).join(', ');
    const message = `must have one field, one of ${known}; it has ${tags.join(', ') || 'none'}`;
    return err([{ path: path.join('.'), line, message }]);
  }
  return checkValue(schema, source, [...path, tag], (value as Record<string, unknown>)[tag]).map(
    (input) => ({ tag, input, line }),
  );
}

function checkValue<Schema extends z.ZodType>(
  schema: Schema,
  source: Source,
  path: Path,
  value: unknown = source.value,
): Checked<z.infer<Schema>> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(
    parsed.error.issues.map((issue) => {
      const issuePath = [...path, ...(issue.path as Path)];
      return { path: issuePath.join('.'), line: source.lineOf(issuePath), message: issue.message };
    }),
  );
}
