/** Differences between two documents, field by field. */
import type { ServiceDocument } from './documentSchema';
import { normalizeDocument, routeKey } from './normalizeDocument';

/** `before` is absent if the field was added, `after` if it was removed. */
export interface DocumentChange {
  /** List items are identified by their key instead of their index: `classes[counter].weight`. */
  path: string;
  before?: unknown;
  after?: unknown;
}

type Fields = Record<string, unknown>;

/** Lists whose first item is the default, so that a change of order is reported. */
const orderedLists = new Set(['classes', 'models']);

export function diffDocuments(before: ServiceDocument, after: ServiceDocument): DocumentChange[] {
  return diffValues('', normalizeDocument(before), normalizeDocument(after));
}

function diffValues(path: string, before: unknown, after: unknown): DocumentChange[] {
  if (Array.isArray(before) && Array.isArray(after)) {
    return diffLists(path, before, after);
  }
  if (isFields(before) && isFields(after)) {
    return diffFields(path, before, after);
  }
  return JSON.stringify(before) === JSON.stringify(after)
    ? []
    : [createChange(path, before, after)];
}

function diffFields(path: string, before: Fields, after: Fields): DocumentChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.flatMap((name) =>
    diffValues(path === '' ? name : `${path}.${name}`, before[name], after[name]),
  );
}

function diffLists(path: string, before: unknown[], after: unknown[]): DocumentChange[] {
  const beforeByKey = new Map(before.map((item) => [itemKey(item), item]));
  const afterByKey = new Map(after.map((item) => [itemKey(item), item]));
  const keys = [...new Set([...beforeByKey.keys(), ...afterByKey.keys()])];
  const changes = keys.flatMap((key) =>
    diffValues(`${path}[${key}]`, beforeByKey.get(key), afterByKey.get(key)),
  );
  return [...changes, ...diffOrder(path, [...beforeByKey.keys()], [...afterByKey.keys()])];
}

function diffOrder(path: string, before: string[], after: string[]): DocumentChange[] {
  const hasSameItems = before.length === after.length && before.every((key) => after.includes(key));
  const isReordered = before.some((key, index) => key !== after[index]);
  return orderedLists.has(path) && hasSameItems && isReordered
    ? [createChange(`${path} (order)`, before, after)]
    : [];
}

function itemKey(item: unknown): string {
  if (!isFields(item)) {
    return String(item);
  }
  return typeof item.name === 'string' ? item.name : routeKey(item as ServiceDocument['routes'][0]);
}

function createChange(path: string, before: unknown, after: unknown): DocumentChange {
  return {
    path,
    ...(before === undefined ? {} : { before }),
    ...(after === undefined ? {} : { after }),
  };
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
