/** Changes an object that several processes write: read, then created or replaced under a condition. */
import type { ObjectApi, ObjectKind, StoredObject } from './platformApi';

export type ObjectChange =
  | { kind: 'written'; object: StoredObject }
  /** Nothing had to be written. */
  | { kind: 'unchanged' }
  /** Another writer was faster. */
  | { kind: 'raced' }
  /** The object may or may not have been written. */
  | { kind: 'failed' };

export interface ObjectChangeOptions {
  objects: Pick<ObjectApi, 'get' | 'create' | 'update'>;
  kind: ObjectKind;
  key: string;
  /** The value to write, by the stored object if there is one; undefined if it needs no change. */
  next(current: StoredObject | undefined): unknown;
}

export async function changeObject(options: ObjectChangeOptions): Promise<ObjectChange> {
  const { objects, kind, key } = options;
  const read = await objects.get(kind, key);
  if (read.isErr() && read.error.kind !== 'not-found') {
    return { kind: 'failed' };
  }
  return replaceObject(options, read.isOk() ? read.value : undefined);
}

/** Like `changeObject`, for an object that has been read: undefined if there was none. */
export async function replaceObject(
  { objects, kind, key, next }: ObjectChangeOptions,
  current: StoredObject | undefined,
): Promise<ObjectChange> {
  const value = next(current);
  if (value === undefined) {
    return { kind: 'unchanged' };
  }
  const written =
    current === undefined
      ? await objects.create(kind, key, value)
      : await objects.update(kind, key, current.version, value);
  return written.match<ObjectChange, ObjectChange>(
    (object) => ({ kind: 'written', object }),
    ({ kind: error }) => ({ kind: error === 'conflict' ? 'raced' : 'failed' }),
  );
}
