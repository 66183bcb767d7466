/** Makes an action that has its effect at the first call only, as releases and cancels must. */
export function runOnce(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (!isDone) {
      isDone = true;
      action();
    }
  };
}
