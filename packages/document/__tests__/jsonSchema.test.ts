import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import { format, resolveConfig } from 'prettier';
import {
  documentJsonSchema,
  replaceFieldTable,
  type JsonSchemaNode,
} from '@bluebellhitch/document';

const root = join(import.meta.dirname, '../../..');
const page = join(root, 'docs/CONFIGURATION.md');

function fieldsOf(node: JsonSchemaNode, path = ''): { path: string; field: JsonSchemaNode }[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, field]) => [
    { path: `${path}${name}`, field },
    ...fieldsOf(field, `${path}${name}.`),
    ...fieldsOf(field.items ?? {}, `${path}${name}[].`),
  ]);
}

test('the committed schema is up to date', (t) => {
  const file = join(root, 'packages/document/schema/service-document.schema.json');
  t.deepEqual(JSON.parse(readFileSync(file, 'utf8')), documentJsonSchema());
});

test('the field reference of the page is up to date', async (t) => {
  const text = readFileSync(page, 'utf8');
  const options = { ...(await resolveConfig(page)), filepath: page };
  t.is(await format(text, options), await format(replaceFieldTable(text), options));
});

test('every field is described, and every number and list has bounds', (t) => {
  const fields = fieldsOf(documentJsonSchema());
  t.deepEqual(
    fields.filter(({ field }) => field.description === undefined).map(({ path }) => path),
    [],
  );
  const unbounded = fields.filter(
    ({ field }) =>
      (field.type === 'array' && field.maxItems === undefined) ||
      (/number|integer/.test(field.type ?? '') && field.maximum === undefined),
  );
  t.deepEqual(unbounded, []);
});
