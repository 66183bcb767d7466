/** Orders to the engine: models, adapters and its role. Optionally checks fencing numbers. */
import { err, ok, type Result } from 'neverthrow';
import type { EngineError } from '@bluebellhitch/engine';
import type { EngineOrder, WorkerRole } from '@bluebellhitch/protocol';
import { assertNever, delay } from '@bluebellhitch/shared';
import type { EngineSettings } from './engineOptions';

/** An order that reached the engine. */
export interface ReceivedOrder {
  order: EngineOrder;
  fencingNumber: number;
  accepted: boolean;
}

export interface EngineOrders {
  run(order: EngineOrder, fencingNumber: number): Promise<Result<void, EngineError>>;
  role(): WorkerRole;
  models(): { model: string; version: string }[];
  adapters(): { model: string; adapter: string }[];
  /** Whether `model`, or `model:adapter`, is loaded. */
  isLoaded(model: string): boolean;
  received(): ReceivedOrder[];
}

const maxReceivedOrders = 500;

export function createEngineOrders(settings: EngineSettings, onChange: () => void): EngineOrders {
  const versions = new Map(settings.models.map(({ model, version }) => [model, version]));
  const adapters = new Set<string>();
  const history: ReceivedOrder[] = [];
  let { role } = settings;
  let highestFencingNumber = 0;

  function recordOrder(received: ReceivedOrder): void {
    history.push(received);
    if (history.length > maxReceivedOrders) {
      history.shift();
    }
  }

  async function loadModel(model: string, version: string): Promise<Result<void, EngineError>> {
    if (versions.get(model) === version) {
      return ok(undefined);
    }
    const weights = await settings.readWeights?.(model, version);
    if (weights?.isErr() === true) {
      return err(weights.error);
    }
    if (weights === undefined) {
      await delay(settings.modelLoadMs);
    }
    versions.set(model, version);
    return ok(undefined);
  }

  async function loadAdapter(model: string, adapter: string): Promise<Result<void, EngineError>> {
    if (!versions.has(model)) {
      return err({ kind: 'failed', detail: `model ${model} is not loaded` });
    }
    await delay(settings.adapterLoadMs);
    adapters.add(adapterKey(model, adapter));
    return ok(undefined);
  }

  async function execute(order: EngineOrder): Promise<Result<void, EngineError>> {
    switch (order.kind) {
      case 'load-model':
        return loadModel(order.model, order.version);
      case 'load-adapter':
        return loadAdapter(order.model, order.adapter);
      case 'unload-adapter':
        adapters.delete(adapterKey(order.model, order.adapter));
        return ok(undefined);
      case 'set-role':
        await delay(settings.roleChangeMs);
        role = order.role;
        return ok(undefined);
      default:
        return assertNever(order);
    }
  }

  return {
    run: async (order, fencingNumber) => {
      const accepted = !settings.checkFencing || fencingNumber >= highestFencingNumber;
      recordOrder({ order, fencingNumber, accepted });
      if (!accepted) {
        return err({ kind: 'stale-order', highestFencingNumber });
      }
      highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
      const result = await execute(order);
      onChange();
      return result;
    },
    role: () => role,
    models: () => [...versions].map(([model, version]) => ({ model, version })),
    adapters: () =>
      [...adapters].map((key) => {
        const [model = '', adapter = ''] = key.split(adapterSeparator);
        return { model, adapter };
      }),
    isLoaded: (model) => versions.has(model) || adapters.has(model),
    received: () => [...history],
  };
}

const adapterSeparator = ':';

function adapterKey(model: string, adapter: string): string {
  return `${model}${adapterSeparator}${adapter}`;
}
