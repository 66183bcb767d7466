import test from 'ava';
import { parseMetrics, sumSamples } from '../src/accounting/metricsText';

test('a metric is summed over all its label sets', (t) => {
  const samples = parseMetrics(
    [
      '# HELP x things',
      'x_total{cause="a",service="s,1"} 2',
      'x_total{cause="b"} 0.5',
      'process_cpu_seconds_total 1.25 ',
      'y 3',
    ].join('\n'),
  );

  t.is(sumSamples(samples, 'x_total'), 2.5);
  t.is(sumSamples(samples, 'y'), 3);
  t.is(sumSamples(samples, 'absent'), 0);
  t.deepEqual(samples[0]?.labels, { cause: 'a', service: 's,1' });
});
