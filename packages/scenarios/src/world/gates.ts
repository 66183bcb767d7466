/**
 * Gates calls from one process to another or to the platform: no call starts or returns while its caller
 * or callee is paused, or after either has crashed.
 */
import { ResultAsync } from 'neverthrow';
import type { EngineApi, EngineChunk } from '@bluebellhitch/engine';
import type { PlatformApi } from '@bluebellhitch/objects';
import type { Network } from './network';
import { runOutsideProcesses, type SimulatedProcess } from './simulatedProcess';

type Callee = Pick<SimulatedProcess, 'run' | 'whenRunning'>;

/** The id by which network cuts refer to the platform. */
const platformId = 'platform';

function gate<Value, Failure>(
  caller: SimulatedProcess,
  callee: Callee,
  call: () => ResultAsync<Value, Failure>,
): ResultAsync<Value, Failure> {
  const run = async () => {
    await caller.whenRunning();
    await callee.whenRunning();
    const result = await callee.run(call);
    await callee.whenRunning();
    await caller.whenRunning();
    return result;
  };
  return new ResultAsync(run());
}

/** Gates a process's calls to the platform; they hang while the network between the two is cut. */
export function gatePlatform(
  caller: SimulatedProcess,
  platform: PlatformApi,
  network: Pick<Network, 'whenConnected'>,
): PlatformApi {
  const platformCallee: Callee = {
    run: runOutsideProcesses,
    whenRunning: () => network.whenConnected(caller.id, platformId),
  };
  const through = <Value, Failure>(call: () => ResultAsync<Value, Failure>) =>
    gate(caller, platformCallee, call);
  return {
    get: (...input) => through(() => platform.get(...input)),
    list: (...input) => through(() => platform.list(...input)),
    create: (...input) => through(() => platform.create(...input)),
    update: (...input) => through(() => platform.update(...input)),
    remove: (...input) => through(() => platform.remove(...input)),
    watch: (...input) => through(() => platform.watch(...input)),
    instances: () => through(() => platform.instances()),
  };
}

export interface GatedEngineOptions {
  caller: SimulatedProcess;
  callee: SimulatedProcess;
  /** Returns the current engine; a restart replaces it. */
  engine: () => EngineApi;
}

/** Gates an agent's calls to its engine. */
export function gateEngine({ caller, callee, engine }: GatedEngineOptions): EngineApi {
  const through = <Value, Failure>(call: () => ResultAsync<Value, Failure>) =>
    gate(caller, callee, call);
  const stream = <Failure>(call: () => ResultAsync<AsyncIterable<EngineChunk>, Failure>) =>
    through(call).map((chunks) => gateChunks(caller, callee, chunks));
  return {
    prefill: (...input) => through(() => engine().prefill(...input)),
    exportKv: (...input) => through(() => engine().exportKv(...input)),
    importKv: (...input) => through(() => engine().importKv(...input)),
    decode: (...input) => stream(() => engine().decode(...input)),
    resume: (...input) => stream(() => engine().resume(...input)),
    cancel: (...input) => through(() => engine().cancel(...input)),
    streams: () => through(() => engine().streams()),
    load: () => through(() => engine().load()),
    cacheEvents: (...input) => through(() => engine().cacheEvents(...input)),
    order: (...input) => through(() => engine().order(...input)),
  };
}

async function* gateChunks(
  caller: SimulatedProcess,
  callee: SimulatedProcess,
  chunks: AsyncIterable<EngineChunk>,
): AsyncGenerator<EngineChunk> {
  for await (const chunk of chunks) {
    await callee.whenRunning();
    await caller.whenRunning();
    yield chunk;
  }
  await caller.whenRunning();
}
