import test from 'ava';
import {
  decodeAttemptMessage,
  decodeLimitMessage,
  decodeProofMessage,
  decodeQuotaMessage,
  encodeAttemptMessage,
  isPeerMessage,
  isRelayedChanges,
  type AttemptMessage,
} from '@bluebellhitch/protocol';

const senderAddress = '10.0.0.1:7400';
const messages: AttemptMessage[] = [
  {
    ...{ kind: 'attempt-question', senderAddress, number: 7 },
    ...{ serviceName: 'counter', wantedCount: 4, lifetimeMs: 2_000 },
  },
  { kind: 'attempt-answer', number: 7, lentCount: 2 },
  { kind: 'attempt-return', senderAddress, number: 7, unusedCount: 1 },
];

test('each message survives encoding and decoding', (t) => {
  messages.forEach((message) =>
    t.deepEqual(decodeAttemptMessage(encodeAttemptMessage(message)), message),
  );
});

test('readers of the other formats skip the messages', (t) => {
  // Routers of the former release get them too.
  messages.map(encodeAttemptMessage).forEach((bytes) => {
    t.false(isPeerMessage(bytes) || isRelayedChanges(bytes));
    [decodeProofMessage, decodeQuotaMessage, decodeLimitMessage].forEach((decode) =>
      t.is(decode(bytes), undefined),
    );
  });
});

test('additional elements of a later format are ignored', (t) => {
  const later = Buffer.from('["attempt-answer",7,2,{"more":1}]');
  t.deepEqual(decodeAttemptMessage(later), { kind: 'attempt-answer', number: 7, lentCount: 2 });
});

test('other bytes are not decoded', (t) => {
  const texts = [
    '',
    '["quota"]',
    '["attempt-answer",7,-1]',
    '["attempt-answer",7,65]',
    '["attempt-question","nowhere",7,"s",4,2000]',
    '["attempt-question","10.0.0.1:7400",7,"",4,2000]',
    '["attempt-question","10.0.0.1:7400",7,"s",4,0]',
    '["attempt-question","10.0.0.1:7400",7,"s",4,60001]',
    '["attempt-return","10.0.0.1:7400",7,1.5]',
    '["attempt-return",',
  ];
  texts.forEach((text) => t.is(decodeAttemptMessage(Buffer.from(text)), undefined, text));
});
