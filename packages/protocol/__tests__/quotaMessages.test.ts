import test from 'ava';
import {
  decodeProofMessage,
  decodeQuotaMessage,
  encodeProofMessage,
  encodeQuotaMessage,
  mostToldUses,
  type ProofMessage,
  type QuotaMessage,
} from '@bluebellhitch/protocol';

const told: QuotaMessage = {
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

/** The same message as a later format would write it, with more at its end. */
const extended = (bytes: Buffer) =>
  Buffer.from(JSON.stringify([...(JSON.parse(bytes.toString()) as unknown[]), { more: 1 }]));

test('what is written is read again', (t) => {
  t.deepEqual(decodeQuotaMessage(encodeQuotaMessage(told)), told);
  proofs.forEach((proof) => t.deepEqual(decodeProofMessage(encodeProofMessage(proof)), proof));
});

test('what a later format adds is passed over', (t) => {
  // Routers that are replaced one after the other must hear each other meanwhile.
  t.deepEqual(decodeQuotaMessage(extended(encodeQuotaMessage(told))), told);
  proofs.forEach((proof) =>
    t.deepEqual(decodeProofMessage(extended(encodeProofMessage(proof))), proof),
  );
});

test('anything else is no message', (t) => {
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

test('a message of the most workspaces with long names stays within two kilobytes', (t) => {
  const uses = Array.from({ length: 1_000 }, (_none, index) => ({
    workspaceName: `workspace-${index}-name`,
    sum: 123_456_789,
    level: 54_321,
  }));
  const bytes = encodeQuotaMessage({ ...told, uses });
  t.is(decodeQuotaMessage(bytes)?.uses.length, mostToldUses);
  t.true(bytes.length <= 2_048);
});

test('a proof of the release before, which told no version, is heard', (t) => {
  const bytes = Buffer.from('["proof-answer",77,530,900]');
  t.deepEqual(decodeProofMessage(bytes), proofs[1] as ProofMessage);
});
