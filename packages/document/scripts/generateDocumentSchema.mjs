/**
 * Writes the JSON Schema of the service document and the field reference of docs/CONFIGURATION.md:
 * `node --import=tsx --conditions=bluebell-source packages/document/scripts/generateDocumentSchema.mjs`
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { format, resolveConfig } from 'prettier';
import { documentJsonSchema, replaceFieldTable } from '@bluebellhitch/document';

const root = join(import.meta.dirname, '../../..');

async function writeFormatted(path, text) {
  const file = join(root, path);
  const config = await resolveConfig(file);
  writeFileSync(file, await format(text, { ...config, filepath: file }));
}

await writeFormatted(
  'packages/document/schema/service-document.schema.json',
  JSON.stringify(documentJsonSchema()),
);
await writeFormatted(
  'docs/CONFIGURATION.md',
  replaceFieldTable(readFileSync(join(root, 'docs/CONFIGURATION.md'), 'utf8')),
);
