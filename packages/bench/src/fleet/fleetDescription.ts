/** Describes a fleet: the service documents of an institution and the backend servers of each service. */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parse } from 'yaml';
import { serviceDocumentSchema, type ServiceDocument } from '@bluebellhitch/document';
import type { EngineProfile, ServiceFile } from './fleetTypes';
import { scaleEngine, scaleService } from './timeScale';

export type WorkerCounts = Partial<Record<'prefill' | 'decode' | 'both' | 'plain', number>>;

export interface BackendDescription {
  id: string;
  document: ServiceDocument;
  role: string;
  dataCentre: string;
}

export interface FleetDescription {
  institution: InstitutionName;
  services: ServiceFile[];
  backends: BackendDescription[];
  dataCentres: string[];
  engine: EngineProfile;
}

export const institutionNames = { halloranVoss: 'halloran-voss', sahlat: 'sahlat' } as const;
export type InstitutionName = (typeof institutionNames)[keyof typeof institutionNames];

/** Worker counts that the institutions run in production, by service. */
const productionWorkers: Record<string, WorkerCounts> = {
  'draft-models': { prefill: 5, decode: 8 },
  'counter-app': { plain: 3 },
  'tread-scribe': { prefill: 2, decode: 4 },
  'pit-desk': { plain: 3 },
};

export interface DescribeFleetOptions {
  /** Directory with one subdirectory of documents for each institution. */
  examplesDirectory: string;
  institution: InstitutionName;
  engine: EngineProfile;
  /** Factor for all times, see `timeScale.ts`; 1 by default. */
  timeScale?: number;
  /** Worker counts by service in place of those of production; services that are absent are left out. */
  workers?: Record<string, WorkerCounts>;
}

/** Reads an institution's documents and lists the backend servers to start for them. Throws on invalid documents. */
export async function describeFleet(options: DescribeFleetOptions): Promise<FleetDescription> {
  const { examplesDirectory, institution, timeScale = 1, workers = productionWorkers } = options;
  const files = await readServiceFiles(join(examplesDirectory, institution));
  const services = files
    .filter(({ document }) => workers[document.service] !== undefined)
    .map((file) => scaleService(file, timeScale));
  return {
    institution,
    services,
    engine: scaleEngine(options.engine, timeScale),
    dataCentres: services[0]?.document.dataCentres ?? [],
    backends: services.flatMap(({ document }) =>
      listBackends(document, workers[document.service] ?? {}),
    ),
  };
}

async function readServiceFiles(directory: string): Promise<ServiceFile[]> {
  const names = (await readdir(directory)).filter((name) => name.endsWith('.yaml')).sort();
  return Promise.all(
    names.map(async (name) => {
      const text = await readFile(join(directory, name), 'utf8');
      return { text, document: serviceDocumentSchema.parse(parse(text)) };
    }),
  );
}

function listBackends(document: ServiceDocument, counts: WorkerCounts): BackendDescription[] {
  const { service, dataCentres } = document;
  return Object.entries(counts)
    .flatMap(([role, count]) => Array.from({ length: count }, (_, index) => ({ role, index })))
    .map(({ role, index }, position) => ({
      id: `${service}-${role}-${index + 1}`,
      document,
      role,
      dataCentre: dataCentres[position % dataCentres.length] ?? 'unknown',
    }));
}

/** Document of the fleet's model service; throws if there is none. */
export function modelDocumentOf({ services }: FleetDescription): ServiceDocument {
  const found = services.find(({ document }) => document.kind === 'model');
  if (found === undefined) {
    throw new Error('the fleet has no model service');
  }
  return found.document;
}

/** Name of the model that the engines of a service run; throws if the document has none. */
export function engineModelOf(document: ServiceDocument): string {
  const [model] = document.models;
  if (model === undefined) {
    throw new Error(`${document.service} names no model`);
  }
  return model.name;
}
