/**
 * Edits lists of a document and keeps the text of its author. Only the section that changes is printed again, with its
 * comments; the text around it stays the same, byte for byte.
 */
import { isDeepStrictEqual } from 'node:util';
import { isMap, isNode, isScalar, isSeq, parseDocument, Document, type Pair } from 'yaml';
import type { DocumentValue } from './documentObject';

/** Adds an item to a list of the document or removes it; no effect if the list is already as requested. */
export interface ListEdit {
  /** Path of the list, such as `['drain', 'instances']`. */
  path: readonly [section: string, list: string];
  action: 'add' | 'remove';
  item: string;
}

/** No line folding, because it would change lines that nobody edited. */
const printOptions = { lineWidth: 0 };

/** The edited value, or `undefined` if nothing had to change. */
export function editText(
  value: DocumentValue,
  edits: readonly ListEdit[],
): DocumentValue | undefined {
  const text = edits.reduce((edited, edit) => applyEdit(edited, value.format, edit), value.text);
  return text === value.text ? undefined : { ...value, text };
}

function applyEdit(text: string, format: DocumentValue['format'], edit: ListEdit): string {
  const document = parseDocument(text);
  if (!editList(document, edit)) {
    return text;
  }
  if (format === 'json') {
    return `${JSON.stringify(document.toJS(), null, 2)}\n`;
  }
  const spliced = spliceSection(text, document, edit.path[0]);
  // Rare layouts, such as a document in braces, cannot be spliced. Then the whole document is printed
  // again, because its content matters more than its layout.
  return isDeepStrictEqual(parseDocument(spliced).toJS(), document.toJS())
    ? spliced
    : document.toString(printOptions);
}

/** Edits the list in place; returns whether it had to change. */
function editList(document: Document, { path, action, item }: ListEdit): boolean {
  const list = document.getIn(path, true);
  const items: unknown[] = isSeq(list) ? list.toJSON() : [];
  const index = items.indexOf(item);
  if ((action === 'add') === (index !== -1)) {
    return false;
  }
  if (action === 'remove') {
    return document.deleteIn([...path, index]);
  }
  const [section] = path;
  if (!isMap(document.get(section))) {
    document.set(section, document.createNode({}));
  }
  if (isSeq(list)) {
    list.add(document.createNode(item));
  } else {
    document.setIn(path, document.createNode([item]));
  }
  return true;
}

/** Replaces one section of the text by its edited form; a new section is appended. */
function spliceSection(text: string, edited: Document, section: string): string {
  const printed = printSection(edited, section);
  const range = rangeOf(findPair(parseDocument(text), section));
  if (range === undefined) {
    return `${text}${text.endsWith('\n') ? '' : '\n'}${printed}`;
  }
  const endsWithNewline = text[range.end - 1] === '\n';
  const replacement = endsWithNewline ? printed : printed.trimEnd();
  return `${text.slice(0, range.start)}${replacement}${text.slice(range.end)}`;
}

/** Comments before the section and after its last line are outside the range that is replaced. */
function printSection(document: Document, section: string): string {
  const value = findPair(document, section)?.value;
  if (isNode(value)) {
    value.comment = null;
  }
  const sectionDocument = new Document({});
  sectionDocument.set(section, value);
  return sectionDocument.toString(printOptions);
}

function findPair(document: Document, section: string): Pair | undefined {
  const { contents } = document;
  return isMap(contents)
    ? contents.items.find(({ key }) => (isScalar(key) ? key.value : key) === section)
    : undefined;
}

/** The range from the name of the section to the end of its value. */
function rangeOf(pair: Pair | undefined): { start: number; end: number } | undefined {
  const start = isNode(pair?.key) ? pair.key.range?.[0] : undefined;
  const end = isNode(pair?.value) ? pair.value.range?.[1] : undefined;
  return start === undefined || end === undefined ? undefined : { start, end };
}
