/** Paths of fields in a document, and their text form. */

export type FieldPath = readonly (string | number)[];

/** `['classes', 0, 'weight']` becomes `classes[0].weight`; the whole document is `document`. */
export function formatPath(path: FieldPath): string {
  return path.length === 0 ? wholeDocumentPath : joinPath(path);
}

/** Path of findings that do not concern a single field, such as a syntax error. */
export const wholeDocumentPath = 'document';

function joinPath(path: FieldPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') {
      return `${text}[${part}]`;
    }
    return text === '' ? part : `${text}.${part}`;
  }, '');
}
