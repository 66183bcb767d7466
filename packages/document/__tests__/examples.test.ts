import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import { parseDocument } from '@bluebellhitch/document';

const examples = join(import.meta.dirname, '../../../examples');
const files = ['halloran-voss', 'sahlat'].flatMap((institution) =>
  readdirSync(join(examples, institution)).map((file) => join(examples, institution, file)),
);

test('there is an example of each service', (t) => {
  t.is(files.length, 4);
});

files.forEach((file) => {
  test(`${file.slice(examples.length + 1)} has no findings`, (t) => {
    const parsed = parseDocument(readFileSync(file, 'utf8'), { fileName: file });
    t.deepEqual(parsed.isErr() ? parsed.error : parsed.value.findings, []);
  });
});

const page = readFileSync(join(examples, '../docs/CONFIGURATION.md'), 'utf8');
const documentsOfPage = page.match(/(?<=```yaml\n)apiVersion[^]*?(?=```)/g) ?? [];

test('the documents in docs/CONFIGURATION.md have no findings', (t) => {
  t.is(documentsOfPage.length, 2);
  documentsOfPage.forEach((text) => t.true(parseDocument(text).isOk()));
});
