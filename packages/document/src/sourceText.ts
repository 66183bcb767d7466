/** Parses the YAML or JSON text of a document and keeps the position of each value. */
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

/** Position in the text; line and column are 1-based. */
export interface SourcePosition {
  line: number;
  column: number;
}

export interface SourceText {
  value: unknown;
  /** Position of the value at `path`, or of the nearest enclosing value that exists. */
  positionOf(path: FieldPath): SourcePosition | undefined;
  /** Position of the key `key` itself in the value at `path`. */
  positionOfKey(path: FieldPath, key: string): SourcePosition | undefined;
  has(path: FieldPath): boolean;
  /** Findings after which the document can still be checked, such as a duplicate field. */
  findings: Finding[];
}

/** Larger document texts are rejected, so that a document fits into one platform object. */
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
  const positionOf = (path: FieldPath): SourcePosition | undefined => {
    const position = positionOfNode(nodeAt(path), lineCounter);
    return position ?? (path.length === 0 ? undefined : positionOf(path.slice(0, -1)));
  };
  const positionOfKey = (path: FieldPath, key: string) => {
    const node = nodeAt(path);
    const pair = isMap(node)
      ? node.items.find((item) => isScalar(item.key) && item.key.value === key)
      : undefined;
    return isNode(pair?.key) ? positionOfNode(pair.key, lineCounter) : positionOf(path);
  };
  return {
    value,
    positionOf,
    positionOfKey,
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

function positionOfNode(
  node: Node | undefined,
  lineCounter: LineCounter,
): SourcePosition | undefined {
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

/** The YAML parser accepts more than JSON, so a document declared as JSON must also parse as JSON. */
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

/** Reports an error if aliases would expand a small text into a huge value. */
function toValue(document: Document): Result<unknown, Finding[]> {
  try {
    return ok(document.toJS({ maxAliasCount: 100 }));
  } catch (error) {
    return err([{ path: wholeDocumentPath, message: (error as Error).message }]);
  }
}
