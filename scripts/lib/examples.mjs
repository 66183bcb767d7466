/** The example institutions: their documents, and how many workers a desk or the full size has. */
import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { parse } from 'yaml';
import { repositoryRoot } from './repository.mjs';

/** Workers by service; `full` is the size that the institution runs today. */
const sizes = {
  'draft-models': { desk: { prefill: 2, decode: 3 }, full: { prefill: 5, decode: 8 } },
  'counter-app': { desk: { plain: 2 }, full: { plain: 3 } },
  'tread-scribe': { desk: { prefill: 1, decode: 2 }, full: { prefill: 2, decode: 4 } },
  'pit-desk': { desk: { plain: 2 }, full: { plain: 3 } },
};

/** One request to each kind of service, for `--once` and the printed curl line. */
const samples = {
  'halloran-voss': {
    prompt: 'Draft a maturity notice for a series EE bond bought in May 1994.',
    lookupPath: '/balance/4711',
  },
  sahlat: {
    prompt: 'Summarise the casing report of truck 31, front left wheel.',
    lookupPath: '/dispatch/truck-31',
  },
};

export const exampleNames = Object.keys(samples);

/** Reads `examples/<institution>/*.yaml` and lists the backend servers to start for them. */
export async function readExample(institution, { full }) {
  const directory = join(repositoryRoot, 'examples', institution);
  const fileNames = (await readdir(directory)).filter((name) => name.endsWith('.yaml')).sort();
  const documents = await Promise.all(
    fileNames.map(async (fileName) => {
      const text = await readFile(join(directory, fileName), 'utf8');
      return { text, content: parse(text) };
    }),
  );
  const size = full ? 'full' : 'desk';
  return {
    institution,
    sample: samples[institution],
    documents,
    modelService: documents.find(({ content }) => content.kind === 'model').content,
    dataCentres: documents[0].content.dataCentres,
    backends: documents.flatMap(({ content }) => backendsOf(content, sizes[content.service][size])),
  };
}

function backendsOf(content, countByRole) {
  const { service, kind, dataCentres, models = [] } = content;
  return Object.entries(countByRole)
    .flatMap(([role, count]) => Array.from({ length: count }, (_, index) => ({ role, index })))
    .map(({ role, index }, position) => ({
      id: `${service}-${role}-${index + 1}`,
      service,
      kind,
      role,
      models,
      dataCentre: dataCentres[position % dataCentres.length],
    }));
}
