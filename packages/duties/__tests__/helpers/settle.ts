/** Advances paused time until a call of the test itself is answered. */
import type { Clock } from '@sinonjs/fake-timers';

export async function settle<Value>(clock: Clock, call: PromiseLike<Value>): Promise<Value> {
  let answered = false;
  const answer = Promise.resolve(call).finally(() => {
    answered = true;
  });
  answer.catch(() => undefined);
  while (!answered) {
    await clock.tickAsync(1);
  }
  return answer;
}
