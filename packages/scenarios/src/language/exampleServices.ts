/** The services of a scenario's world, by the example documents of both institutions. */
import { readFileSync } from 'node:fs';
import { parseDocument, type ServiceDocument } from '@bluebellhitch/document';
import { invariant } from '@bluebellhitch/shared';
import type { WorldService } from '../world/world';
import type { Scenario } from './scenarioSchema';

const institutions: Record<string, string> = {
  'draft-models': 'halloran-voss',
  'tread-scribe': 'sahlat',
};
const usualRequestKvBytes = 361_000_000;

export function exampleDocument(service: string): ServiceDocument {
  const institution = institutions[service];
  invariant(institution !== undefined, `no example document of a model service ${service}`);
  const place = new URL(`../../../../examples/${institution}/${service}.yaml`, import.meta.url);
  const parsed = parseDocument(readFileSync(place, 'utf8'), { fileName: 'example.yaml' });
  invariant(parsed.isOk(), `the example document of ${service} is valid`);
  return parsed.value.document;
}

export function servicesOf({ world }: Pick<Scenario, 'world'>): WorldService[] {
  return Object.entries(world.services).map(([service, wanted]) => ({
    document: exampleDocument(service),
    workers: wanted.workers,
    engine: {
      poisonMarker: wanted.poison,
      ...(wanted.slots === undefined
        ? {}
        : { slotCount: wanted.slots, capacityKvBytes: wanted.slots * usualRequestKvBytes }),
      ...(wanted.stepMs === undefined ? {} : { stepBaseMs: wanted.stepMs }),
      ...(wanted.prefillMsPerToken === undefined
        ? {}
        : { prefillMsPerToken: wanted.prefillMsPerToken }),
    },
  }));
}
