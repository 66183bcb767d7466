/** Advances the fake clock until a call made by the test itself completes. */
import type { Clock } from '@sinonjs/fake-timers';

export async function settle<Value>(clock: Clock, call: PromiseLike<Value>): Promise<Value> {
  let isCompleted = false;
  const result = Promise.resolve(call).finally(() => {
    isCompleted = true;
  });
  result.catch(() => undefined);
  while (!isCompleted) {
    await clock.tickAsync(1);
  }
  return result;
}
