/** Wraps an action so that only the first call runs it, as releases and cancels require. */
export function runOnce(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (!isDone) {
      isDone = true;
      action();
    }
  };
}
