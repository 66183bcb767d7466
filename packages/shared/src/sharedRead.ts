/** Lets calls share reads of the same data. */

export type SharedRead<Value> = () => Promise<Value>;

/** Calls made during a read share the next one: the one in progress may be older than what they ask about. */
export function createSharedRead<Value>(read: SharedRead<Value>): SharedRead<Value> {
  let current: Promise<Value> | undefined;
  let next: Promise<Value> | undefined;

  function begin(): Promise<Value> {
    const begun = read().finally(() => {
      current = current === begun ? undefined : current;
    });
    current = begun;
    return begun;
  }

  return () => {
    if (current === undefined) {
      return begin();
    }
    next ??= current.then(() => {
      next = undefined;
      return begin();
    });
    return next;
  };
}
