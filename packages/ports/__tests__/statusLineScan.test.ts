import test from 'ava';
import fc from 'fast-check';
import { createStatusLineScan } from '../src/statusLineScan';

const due = 'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 1\r\n\r\nx';
const joined = [
  `HTTP/1.1 421 ${due}`,
  `HTTP/1.1 421 Misdirected Requ${due}`,
  `HTTP/1.1 503 HT${due}`,
  `HTTP/1.1 100 Contin${due}`,
  `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 503 Servi${due}`,
  `\r\nHTTP/1.1 503 Servi${due}`,
];
const single = [
  due,
  `\r\n${due}`,
  `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${due}`,
  'HTTP/1.1 505 HTTP Version Not Supported\r\n\r\n',
  // What follows the head is the body, in which anything may stand.
  `HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n${due}HTTP/1.1 503 Servi${due}`,
  'HTTP/1.1 200 OK\r\nServer: a HTTP/1.1 200\r\n\r\n',
];

function scan(parts: readonly string[]): boolean {
  const lines = createStatusLineScan();
  parts.forEach((part) => lines.push(Buffer.from(part, 'latin1')));
  return lines.hasJoinedLines();
}

/** The text in pieces, at any places. */
const piecesOf = (text: string) =>
  fc
    .array(fc.nat(text.length), { maxLength: 6 })
    .map((cuts) => [0, ...cuts.sort((left, right) => left - right), text.length])
    .map((bounds) => bounds.slice(1).map((end, index) => text.slice(bounds[index], end)));

joined.forEach((text) => {
  test(`a response that breaks off in its first line is found, however its bytes arrive: ${JSON.stringify(text.slice(0, 50))}`, (t) => {
    // The parser reads the head of the next response as its rest: a request that runs counts as rejected.
    t.notThrows(() => fc.assert(fc.property(piecesOf(text), (parts) => scan(parts))));
    t.true(scan([...text]));
  });
});

single.forEach((text) => {
  test(`a whole response is not taken for two, however its bytes arrive: ${JSON.stringify(text.slice(0, 60))}`, (t) => {
    t.notThrows(() => fc.assert(fc.property(piecesOf(text), (parts) => !scan(parts))));
    t.false(scan([...text]));
  });
});

test('each response is looked at by itself', (t) => {
  const lines = createStatusLineScan();
  lines.push(Buffer.from(joined[0] as string));
  lines.restart();
  t.false(lines.hasJoinedLines());
  lines.push(Buffer.from(due));
  t.false(lines.hasJoinedLines());
  lines.restart();
  lines.push(Buffer.from('HTTP/1.1 503 Ser'));
  lines.push(Buffer.from(due));
  t.true(lines.hasJoinedLines());
});
