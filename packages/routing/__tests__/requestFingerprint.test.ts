import test from 'ava';
import { computeRequestFingerprint } from '../src/fleet/requestFingerprint';
import type { CallerRequest } from '../src/model';

const request: CallerRequest = {
  id: 'q1',
  method: 'POST',
  host: 'bank.example',
  target: '/letters/1?page=2',
  headers: [],
  body: Buffer.from('a letter'),
  deadlineAtMs: 1_000,
  arrivedAtMs: 0,
  credential: { kind: 'none' },
  credentialHeaders: [],
};

test('a repeated request has the same fingerprint, whatever its id, deadline and headers', (t) => {
  const repeated = {
    ...request,
    ...{ id: 'q2', host: 'Bank.example', deadlineAtMs: 9_000, lastEventId: 4 },
    headers: ['Prompt-Size', '10,20'],
  };
  t.is(computeRequestFingerprint(repeated), computeRequestFingerprint(request));
});

test('requests that differ in method, path, query, workspace or body have different fingerprints', (t) => {
  // One caller could otherwise get another caller's requests refused.
  const others: Partial<CallerRequest>[] = [
    { method: 'PUT' },
    { host: 'desk.example' },
    { target: '/letters/2?page=2' },
    { target: '/letters/1?page=3' },
    { workspaceName: 'bonds' },
    { body: Buffer.from('a lette') },
    // The same characters, divided differently between the path and the body.
    { target: '/letters/1?page=', body: Buffer.from('2a letter') },
  ];
  const fingerprints = others.map((part) => computeRequestFingerprint({ ...request, ...part }));
  t.is(new Set([computeRequestFingerprint(request), ...fingerprints]).size, others.length + 1);
});
