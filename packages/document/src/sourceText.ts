/** Reads the YAML or JSON text of a document and remembers where each value stands. */
import { err, ok, type Result } from 'neverthrow';
import {
  isMap,
  isNode,
  isScalar,
  LineCounter,
  parseDocument,
  type Document,
  type Node,
} from 'yaml';
import type { Finding } from '@bluebellhitch/shared';
import { wholeDocumentPath, type FieldPath } from './fieldPath';

/** 1-based place in the text. */
export interface SourcePlace {
  line: number;
  column: number;
}

export interface SourceText {
  value: unknown;
  /** Place of the value at `path`, or of the nearest value around it. */
  placeOf(path: FieldPath): SourcePlace | undefined;
  /** Place of the field `key` itself within the value at `path`. */
  placeOfKey(path: FieldPath, key: string): SourcePlace | undefined;
  has(path: FieldPath): boolean;
  /** Findings that do not hide others, such as a field written twice. */
  findings: Finding[];
}

/** Document texts above this size are refused, so that a document fits into one platform object. */
export const maxDocumentBytes = 256 * 1024;

export function readSourceText(
  text: string,
  format: 'yaml' | 'json',
): Result<SourceText, Finding[]> {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > maxDocumentBytes) {
    return err([
      { path: wholeDocumentPath, message: `is ${sizeBytes} bytes, above ${maxDocumentBytes}` },
    ]);
  }
  const lineCounter = new LineCounter();
  const document = parseDocument(text, { lineCounter, prettyErrors: false, stringKeys: true });
  const findings = parserFindings(document, lineCounter);
  const onlyDuplicates = document.errors.every(({ code }) => code === 'DUPLICATE_KEY');
  if (!onlyDuplicates || document.warnings.length > 0) {
    return err(findings);
  }
  return checkJson(text, format, findings)
    .andThen(() => toValue(document))
    .map((value) => createSourceText({ value, document, lineCounter, findings }));
}

interface CreateSourceTextOptions {
  value: unknown;
  document: Document;
  lineCounter: LineCounter;
  findings: Finding[];
}

function createSourceText({
  value,
  document,
  lineCounter,
  findings,
}: CreateSourceTextOptions): SourceText {
  const nodeAt = (path: FieldPath): Node | undefined => {
    const node = path.length === 0 ? document.contents : document.getIn(path, true);
    return isNode(node) ? node : undefined;
  };
  const placeOf = (path: FieldPath): SourcePlace | undefined => {
    const place = placeOfNode(nodeAt(path), lineCounter);
    return place ?? (path.length === 0 ? undefined : placeOf(path.slice(0, -1)));
  };
  const placeOfKey = (path: FieldPath, key: string) => {
    const node = nodeAt(path);
    const pair = isMap(node)
      ? node.items.find((item) => isScalar(item.key) && item.key.value === key)
      : undefined;
    return isNode(pair?.key) ? placeOfNode(pair.key, lineCounter) : placeOf(path);
  };
  return {
    value,
    placeOf,
    placeOfKey,
    has: (path) => valueAt(value, path) !== undefined,
    findings,
  };
}

function valueAt(value: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>(
    (parent, key) =>
      typeof parent === 'object' && parent !== null
        ? (parent as Record<string | number, unknown>)[key]
        : undefined,
    value,
  );
}

function placeOfNode(node: Node | undefined, lineCounter: LineCounter): SourcePlace | undefined {
  if (!node?.range) {
    return undefined;
  }
  const { line, col } = lineCounter.linePos(node.range[0]);
  return { line, column: col };
}

function parserFindings(document: Document, lineCounter: LineCounter): Finding[] {
  return [...document.errors, ...document.warnings].map((problem) => {
    const { line, col } = lineCounter.linePos(problem.pos[0]);
    return { path: wholeDocumentPath, line, column: col, message: problem.message };
  });
}

/** YAML is a superset of JSON: a file that calls itself JSON is held to the smaller language. */
function checkJson(
  text: string,
  format: 'yaml' | 'json',
  findings: Finding[],
): Result<void, Finding[]> {
  if (format === 'yaml') {
    return ok(undefined);
  }
  try {
    JSON.parse(text);
    return ok(undefined);
  } catch (error) {
    return err([
      ...findings,
      { path: wholeDocumentPath, message: `is not JSON: ${(error as Error).message}` },
    ]);
  }
}

/** Aliases that would expand a small text into a huge value are an error of the parser. */
function toValue(document: Document): Result<unknown, Finding[]> {
  try {
    return ok(document.toJS({ maxAliasCount: 100 }));
  } catch (error) {
    return err([{ path: wholeDocumentPath, message: (error as Error).message }]);
  }
}
