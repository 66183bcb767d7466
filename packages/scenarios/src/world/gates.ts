/**
 * Calls from one process to another, or to the platform: none starts or returns while its caller is
 * paused or after it crashed.
 */
import { ResultAsync } from 'neverthrow';
import type { EngineApi, EngineChunk } from '@bluebellhitch/engine';
import type { PlatformApi } from '@bluebellhitch/objects';
import type { Network } from './network';
import { outside, type SimulatedProcess } from './simulatedProcess';

type Callee = Pick<SimulatedProcess, 'run' | 'turn'>;

/** The platform's name in cuts of the network. */
const platformId = 'platform';

function gate<Value, Failure>(
  caller: SimulatedProcess,
  callee: Callee,
  call: () => ResultAsync<Value, Failure>,
): ResultAsync<Value, Failure> {
  const run = async () => {
    await caller.turn();
    await callee.turn();
    const result = await callee.run(call);
    await callee.turn();
    await caller.turn();
    return result;
  };
  return new ResultAsync(run());
}

/** The platform as a process sees it; calls hang while the network between them is cut. */
export function gatePlatform(
  caller: SimulatedProcess,
  platform: PlatformApi,
  network: Pick<Network, 'untilOpen'>,
): PlatformApi {
  const platformHost: Callee = {
    run: outside,
    turn: () => network.untilOpen(caller.id, platformId),
  };
  const through = <Value, Failure>(call: () => ResultAsync<Value, Failure>) =>
    gate(caller, platformHost, call);
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
  /** The engine of now: a restarted one is another. */
  engine: () => EngineApi;
}

/** The engine as its agent sees it. */
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
    await callee.turn();
    await caller.turn();
    yield chunk;
  }
  await caller.turn();
}
