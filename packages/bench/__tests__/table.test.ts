import test from 'ava';
import { renderTable } from '../src/report/table';

test('a table has aligned columns', (t) => {
  t.is(
    renderTable(['a', 'long'], [['xyz', '1']]),
    ['| a   | long |', '| --- | ---- |', '| xyz | 1    |'].join('\n'),
  );
});
