import test from 'ava';
import { createAgentMetrics, createEntryMetrics } from '@bluebellhitch/telemetry';

const service = {
  service: 'draft-models',
  institution: 'halloran-voss',
  classNames: ['clerk', 'heir'],
};
const labels = { service: 'draft-models', institution: 'halloran-voss', className: 'clerk' };

test('an entry counts requests and observes phases by service, institution and class', async (t) => {
  const metrics = createEntryMetrics();
  metrics.addServiceLabels(service);
  metrics.countRequest(labels, 'completed');
  metrics.observePhase('firstToken', labels, 310);
  metrics.countWastedPrefillTokens('caller-gone', 420);
  metrics.countRefusal('queue-full');
  metrics.setConfigurationGeneration('draft-models', 3);
  const text = await metrics.render();

  const labelText = 'service="draft-models",institution="halloran-voss",class="clerk"';
  t.true(text.includes(`bluebell_requests_total{${labelText},outcome="completed"} 1`));
  t.true(text.includes(`bluebell_first_token_seconds_sum{${labelText}} 0.31`));
  t.true(text.includes(`bluebell_first_token_seconds_bucket{le="0.3",${labelText}} 0`));
  t.true(text.includes('bluebell_wasted_prefill_tokens_total{cause="caller-gone"} 420'));
  t.true(text.includes('bluebell_wasted_prefill_tokens_total{cause="expired"} 0'));
  t.true(text.includes('bluebell_refusals_total{reason="queue-full"} 1'));
  t.true(text.includes('bluebell_configuration_generation{service="draft-models"} 3'));
  t.true(text.includes('process_resident_memory_bytes'));
});

test('label values that no document contains become "other"', async (t) => {
  // A caller that sends a new class with each request would otherwise add a time series each time, and the
  // entry's memory and every scrape would grow until the process is restarted.
  const metrics = createEntryMetrics();
  metrics.addServiceLabels(service);
  Array.from({ length: 50 }, (_, index) => `made-up-${index}`).forEach((madeUp) => {
    metrics.countRequest({ ...labels, className: madeUp }, 'completed');
    metrics.countRequest({ ...labels, service: madeUp, institution: madeUp }, 'refused');
  });
  const text = await metrics.render();

  t.false(text.includes('made-up'));
  t.true(text.includes('institution="halloran-voss",class="other",outcome="completed"} 50'));
  t.true(text.includes('service="other",institution="other",class="other",outcome="refused"} 50'));
});

test('a removed service is no longer exported in the generations', async (t) => {
  const metrics = createEntryMetrics();
  metrics.addServiceLabels(service);
  metrics.setConfigurationGeneration('draft-models', 3);
  metrics.removeServiceLabels('draft-models');

  t.false((await metrics.render()).includes('draft-models'));
});

test('an agent exports every lease state, and no metrics of entries', async (t) => {
  const metrics = createAgentMetrics();
  metrics.setLeases('decoding', 7);
  const text = await metrics.render();

  t.true(text.includes('bluebell_engine_leases{state="decoding"} 7'));
  t.true(text.includes('bluebell_engine_leases{state="queued"} 0'));
  t.false(text.includes('bluebell_requests_total'));
});
