/** Converts the schema's issues into findings with a position and, where possible, a hint. */
import type { z } from 'zod';
import type { Finding } from '@bluebellhitch/shared';
import { formatPath, type FieldPath } from './fieldPath';
import { fieldNamesAt } from './jsonSchema';
import { nearestName } from './nearestName';
import type { SourceText } from './sourceText';

export function schemaFindings(issues: readonly z.core.$ZodIssue[], source: SourceText): Finding[] {
  return issues.flatMap((issue) => issueFindings(issue, source));
}

function issueFindings(issue: z.core.$ZodIssue, source: SourceText): Finding[] {
  const path = issue.path as FieldPath;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => unknownFieldFinding(path, key, source));
  }
  if (!source.has(path)) {
    return [
      { path: formatPath(path), ...source.positionOf(path), message: 'required field is missing' },
    ];
  }
  const hint = hintOf(issue);
  return [
    {
      path: formatPath(path),
      ...source.positionOf(path),
      message: issue.message.replace(/^Invalid (input|option): /, ''),
      ...(hint === undefined ? {} : { hint }),
    },
  ];
}

/** YAML parses `version: 1` as a number, although its author usually means a string. */
function hintOf(issue: z.core.$ZodIssue): string | undefined {
  const needsQuotes = issue.code === 'invalid_type' && issue.expected === 'string';
  return needsQuotes ? 'write it in quotes' : undefined;
}

function unknownFieldFinding(path: FieldPath, key: string, source: SourceText): Finding {
  const known = fieldNamesAt(path);
  const nearest = nearestName(key, known);
  return {
    path: formatPath([...path, key]),
    ...source.positionOfKey(path, key),
    message: 'unknown field',
    hint: nearest === undefined ? `known: ${known.join(', ')}` : `did you mean ${nearest}?`,
  };
}
