/**
 * A map that never holds more than `maxEntries`: it evicts the least recently written entry. Used for
 * all state that grows with traffic.
 */

export interface BoundedMapOptions<Key, Value> {
  maxEntries: number;
  /** Called with each evicted entry. */
  onEvict?: (key: Key, value: Value) => void;
}

export interface BoundedMap<Key, Value> {
  get(key: Key): Value | undefined;
  has(key: Key): boolean;
  /** Writes the value and makes it the most recent. */
  set(key: Key, value: Value): void;
  delete(key: Key): boolean;
  getOrCreate(key: Key, create: () => Value): Value;
  entries(): IterableIterator<[Key, Value]>;
  size(): number;
}

export function createBoundedMap<Key, Value>(
  options: BoundedMapOptions<Key, Value>,
): BoundedMap<Key, Value> {
  const { maxEntries, onEvict } = options;
  const values = new Map<Key, Value>();

  function evictOldest(): void {
    const oldest = values.entries().next();
    if (oldest.done) {
      return;
    }
    const [key, value] = oldest.value;
    values.delete(key);
    onEvict?.(key, value);
  }

  function set(key: Key, value: Value): void {
    values.delete(key);
    values.set(key, value);
    if (values.size > maxEntries) {
      evictOldest();
    }
  }

  function getOrCreate(key: Key, create: () => Value): Value {
    const value = values.get(key) ?? create();
    set(key, value);
    return value;
  }

  return {
    get: (key) => values.get(key),
    has: (key) => values.has(key),
    set,
    delete: (key) => values.delete(key),
    getOrCreate,
    entries: () => values.entries(),
    size: () => values.size,
  };
}
