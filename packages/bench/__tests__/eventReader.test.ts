import test from 'ava';
import { createEventReader } from '../src/load/eventReader';

test('events are complete wherever the stream is split', (t) => {
  const stream = 'data: {"a":1}\n\nevent: error\ndata: {"b":2}\n\ndata: [DONE]\n\n';
  const expected = [
    { name: 'message', data: '{"a":1}' },
    { name: 'error', data: '{"b":2}' },
    { name: 'message', data: '[DONE]' },
  ];

  Array.from({ length: stream.length + 1 }, (_, splitAt) => splitAt).forEach((splitAt) => {
    const read = createEventReader();
    t.deepEqual([...read(stream.slice(0, splitAt)), ...read(stream.slice(splitAt))], expected);
  });
});
