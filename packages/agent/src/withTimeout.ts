/** Adds a timeout to a call whose response may never arrive. */
import { err, type Result, type ResultAsync } from 'neverthrow';

export interface TimeoutError {
  kind: 'timeout';
  detail: string;
}

export async function withTimeout<Value, Failure>(
  call: ResultAsync<Value, Failure>,
  timeoutMs: number,
): Promise<Result<Value, Failure | TimeoutError>> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<Result<Value, TimeoutError>>((resolve) => {
    timer = setTimeout(() => {
      resolve(err({ kind: 'timeout', detail: `no answer in ${timeoutMs} ms` }));
    }, timeoutMs);
  });
  const result = await Promise.race([call, expired]);
  clearTimeout(timer);
  return result;
}
