import test from 'ava';
import { parseMetrics, sumOf } from '../src/accounting/metricsText';

test('metrics are summed over their labels', (t) => {
  const samples = parseMetrics(
    [
      '# HELP x things',
      'x_total{cause="a",service="s,1"} 2',
      'x_total{cause="b"} 0.5',
      'process_cpu_seconds_total 1.25 ',
      'y 3',
    ].join('\n'),
  );

  t.is(sumOf(samples, 'x_total'), 2.5);
  t.is(sumOf(samples, 'y'), 3);
  t.is(sumOf(samples, 'absent'), 0);
  t.deepEqual(samples[0]?.labels, { cause: 'a', service: 's,1' });
});
