/** Reads a model's weights from the weight store over HTTP and discards them. */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { request } from 'undici';
import type { EngineError } from '@bluebellhitch/engine';

export type WeightReader = (model: string, version: string) => ResultAsync<void, EngineError>;

export function createWeightReader(storeAddress: string): WeightReader {
  return (model, version) => {
    const path = [model, version].map(encodeURIComponent).join('/');
    return new ResultAsync(read(`${storeAddress}/weights/${path}`));
  };
}

async function read(url: string): Promise<Result<void, EngineError>> {
  try {
    const { statusCode, body } = await request(url, { headersTimeout: 0 });
    await body.dump();
    return statusCode === 200
      ? ok(undefined)
      : err({ kind: 'failed', detail: `the weight store answered ${statusCode}` });
  } catch (cause) {
    return err({ kind: 'failed', detail: `the weight store failed: ${String(cause)}` });
  }
}
