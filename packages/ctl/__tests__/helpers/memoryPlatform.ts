/** An in-memory platform. Tests can make its calls fail and change objects right before a write. */
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type {
  ObjectKind,
  PlatformApi,
  PlatformError,
  PlatformInstance,
  StoredObject,
} from '@bluebellhitch/objects';

export interface MemoryPlatform extends PlatformApi {
  /** Writes without a condition, as another operator would. */
  put(kind: ObjectKind, key: string, value: unknown): void;
  /** Runs an action once, right before the next conditional write. */
  beforeNextWrite(action: () => void): void;
  /** The next conditional write takes effect, but its response is lost. */
  loseNextResponse(): void;
  /** All further calls fail with this error. */
  fail(error: PlatformError): void;
  addInstance(instance: PlatformInstance): void;
}

export function createMemoryPlatform(): MemoryPlatform {
  const objects = new Map<string, StoredObject>();
  const instances: PlatformInstance[] = [];
  let failure: PlatformError | undefined;
  let nextWriteHook: (() => void) | undefined;
  let losesNextResponse = false;

  const put = (kind: ObjectKind, key: string, value: unknown): StoredObject => {
    const version = (objects.get(`${kind}/${key}`)?.version ?? 0) + 1;
    const object = { kind, key, version, value };
    objects.set(`${kind}/${key}`, object);
    return object;
  };

  const respond = <Value>(read: () => Value | undefined): ResultAsync<Value, PlatformError> => {
    if (failure !== undefined) {
      return errAsync(failure);
    }
    const value = read();
    return value === undefined ? errAsync({ kind: 'not-found' }) : okAsync(value);
  };

  const write = (kind: ObjectKind, key: string, version: number, value: unknown) => {
    nextWriteHook?.();
    nextWriteHook = undefined;
    const current = objects.get(`${kind}/${key}`);
    if (failure !== undefined || (current?.version ?? 0) !== version) {
      return errAsync<StoredObject, PlatformError>(failure ?? { kind: 'conflict', current });
    }
    const object = put(kind, key, value);
    const isLost = losesNextResponse;
    losesNextResponse = false;
    return isLost
      ? errAsync<StoredObject, PlatformError>({ kind: 'unknown-outcome', detail: 'reset' })
      : okAsync<StoredObject, PlatformError>(object);
  };

  return {
    put,
    beforeNextWrite: (action) => {
      nextWriteHook = action;
    },
    loseNextResponse: () => {
      losesNextResponse = true;
    },
    fail: (error) => {
      failure = error;
    },
    addInstance: (instance) => instances.push(instance),
    get: (kind, key) => respond(() => objects.get(`${kind}/${key}`)),
    list: (kind) =>
      respond(() => ({
        objects: [...objects.values()].filter((object) => object.kind === kind),
        cursor: '0',
      })),
    create: (kind, key, value) => write(kind, key, 0, value),
    update: write,
    remove: () => errAsync({ kind: 'rejected', detail: 'not used' }),
    watch: () => errAsync({ kind: 'rejected', detail: 'not used' }),
    instances: () => respond(() => instances),
  };
}
