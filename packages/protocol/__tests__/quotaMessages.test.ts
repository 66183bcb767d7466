import test from 'ava';
import {
  decodeProofMessage,
  decodeQuotaMessage,
  encodeProofMessage,
  encodeQuotaMessage,
  maxUsesPerMessage,
  type ProofMessage,
  type QuotaMessage,
} from '@bluebellhitch/protocol';

const message: QuotaMessage = {
  senderAddress: '10.0.0.1:7400',
  life: 'k3f',
  sequence: 9,
  isLast: false,
  isYoung: true,
  uses: [
    { workspaceName: 'hule930', sum: 12_345, level: 800 },
    { workspaceName: 'vuto12', sum: -40, level: undefined },
  ],
};
const proofs: ProofMessage[] = [
  { kind: 'question', senderAddress: '10.0.0.1:7400', number: 77 },
  { kind: 'answer', number: 77, revision: 530, ageMs: 900 },
  {
    kind: 'answer',
    number: 78,
    revision: 530,
    ageMs: Infinity,
    configuration: { version: 41, ageMs: 900 },
  },
];

/** The same message as a later format would encode it, with an additional last element. */
const extended = (bytes: Buffer) =>
  Buffer.from(JSON.stringify([...(JSON.parse(bytes.toString()) as unknown[]), { more: 1 }]));

test('messages survive encoding and decoding', (t) => {
  t.deepEqual(decodeQuotaMessage(encodeQuotaMessage(message)), message);
  proofs.forEach((proof) => t.deepEqual(decodeProofMessage(encodeProofMessage(proof)), proof));
});

test('additional elements of a later format are ignored', (t) => {
  // During a rolling upgrade, routers of both releases must understand each other.
  t.deepEqual(decodeQuotaMessage(extended(encodeQuotaMessage(message))), message);
  proofs.forEach((proof) =>
    t.deepEqual(decodeProofMessage(extended(encodeProofMessage(proof))), proof),
  );
});

test('other bytes are not decoded', (t) => {
  [
    '',
    '[3,"10.0.0.1:7400"]',
    '["quota"]',
    '["quota","x","l",1,0,[]]',
    '["proof-answer",-1,2,3]',
  ].forEach((text) => {
    t.is(decodeQuotaMessage(Buffer.from(text)), undefined);
    t.is(decodeProofMessage(Buffer.from(text)), undefined);
  });
});

test('a message with the maximum number of workspaces stays within two kilobytes', (t) => {
  const uses = Array.from({ length: 1_000 }, (_none, index) => ({
    workspaceName: `workspace-${index}-name`,
    sum: 123_456_789,
    level: 54_321,
  }));
  const bytes = encodeQuotaMessage({ ...message, uses });
  t.is(decodeQuotaMessage(bytes)?.uses.length, maxUsesPerMessage);
  t.true(bytes.length <= 2_048);
});

test('a proof answer of the previous release, without a configuration, is decoded', (t) => {
  const bytes = Buffer.from('["proof-answer",77,530,900]');
  t.deepEqual(decodeProofMessage(bytes), proofs[1] as ProofMessage);
});
