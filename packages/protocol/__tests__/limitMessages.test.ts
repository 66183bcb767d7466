import test from 'ava';
import { decodeLimitMessage, encodeLimitMessage, type LimitMessage } from '@bluebellhitch/protocol';

const messages: LimitMessage[] = [
  {
    kind: 'limit-news',
    limits: [
      { serverId: 's1', requestsPerSecond: 1.6, ageMs: 12 },
      { serverId: 's2', requestsPerSecond: undefined, ageMs: 0 },
    ],
  },
  { kind: 'permit-question', senderAddress: '10.0.0.1:7400', number: 7, serverId: 's1' },
  { kind: 'permit-answer', number: 7, isGranted: true, waitMs: 0 },
  { kind: 'permit-answer', number: 8, isGranted: false, waitMs: 400 },
];

test('each message survives encoding and decoding', (t) => {
  messages.forEach((message) =>
    t.deepEqual(decodeLimitMessage(encodeLimitMessage(message)), message),
  );
});

test('additional elements of a later format are ignored', (t) => {
  const later = Buffer.from('["limit-news",[["s1",2,5,"more"]],{"more":1}]');
  t.deepEqual(decodeLimitMessage(later), {
    kind: 'limit-news',
    limits: [{ serverId: 's1', requestsPerSecond: 2, ageMs: 5 }],
  });
});

test('other bytes are not decoded', (t) => {
  const texts = [
    '',
    '["quota"]',
    '["limit-news",[["s1",-1,5]]]',
    '["limit-news",[["",1,5]]]',
    '["limit-news",[["s1",1,-5]]]',
    '["permit-question","nowhere",1,"s1"]',
    '["permit-answer",1,2,0]',
    '["permit-answer",',
  ];
  texts.forEach((text) => t.is(decodeLimitMessage(Buffer.from(text)), undefined, text));
});

test('the number of limits in a datagram is bounded', (t) => {
  const limits = Array.from({ length: 100 }, (_none, index) => ({
    serverId: `s${index}`,
    ageMs: 0,
  }));
  const bytes = encodeLimitMessage({ kind: 'limit-news', limits });
  const decoded = decodeLimitMessage(bytes);
  t.is(decoded?.kind === 'limit-news' ? decoded.limits.length : 0, 48);
});
