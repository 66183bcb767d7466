/** Creates the services of a scenario's world from the example documents of both institutions. */
import { readFileSync } from 'node:fs';
import { parseDocument, type ServiceDocument } from '@bluebellhitch/document';
import { invariant } from '@bluebellhitch/shared';
import type { WorldService } from '../world/world';
import type { Scenario } from './scenarioSchema';

const institutions: Record<string, string> = {
  'draft-models': 'halloran-voss',
  'tread-scribe': 'sahlat',
};
const typicalRequestKvBytes = 361_000_000;

export function exampleDocument(service: string): ServiceDocument {
  const institution = institutions[service];
  invariant(institution !== undefined, `no example document of a model service ${service}`);
  const url = new URL(`../../../../examples/${institution}/${service}.yaml`, import.meta.url);
  const parsed = parseDocument(readFileSync(url, 'utf8'), { fileName: 'example.yaml' });
  invariant(parsed.isOk(), `the example document of ${service} is valid`);
  return parsed.value.document;
}

export function resolveServices({ world }: Pick<Scenario, 'world'>): WorldService[] {
  return Object.entries(world.services).map(([service, spec]) => ({
    document: exampleDocument(service),
    workers: spec.workers,
    engine: {
      poisonMarker: spec.poison,
      ...(spec.slots === undefined
        ? {}
        : { slotCount: spec.slots, capacityKvBytes: spec.slots * typicalRequestKvBytes }),
      ...(spec.stepMs === undefined ? {} : { stepBaseMs: spec.stepMs }),
      ...(spec.prefillMsPerToken === undefined
        ? {}
        : { prefillMsPerToken: spec.prefillMsPerToken }),
    },
  }));
}
