import test from 'ava';
import {
  decodeSpeedMessage,
  encodeSpeedMessage,
  maxSpeedRows,
  serverKey,
  speedHeadBytes,
  speedRowBytes,
  type SpeedMessage,
} from '@bluebellhitch/protocol';

const message: SpeedMessage = {
  senderAddress: '10.0.3.255:7400',
  incarnation: 4_000_000_000,
  sequence: 7,
  rows: [
    { serverKey: serverKey('s1'), kind: 'prefillSpeed', value: 55.5, weight: 3.2, ageMs: 400 },
    { serverKey: serverKey('s2'), kind: 'decodePace', value: 0.031, weight: 0.1, ageMs: 0 },
  ],
};

function encode(value: SpeedMessage): Buffer {
  return encodeSpeedMessage(value) ?? Buffer.alloc(0);
}

test('each row survives encoding and decoding, its value to 0.1%', (t) => {
  const decoded = decodeSpeedMessage(encode(message));
  t.deepEqual(
    { ...decoded, rows: decoded?.rows.map((row) => ({ ...row, value: undefined })) },
    { ...message, rows: message.rows.map((row) => ({ ...row, value: undefined })) },
  );
  message.rows.forEach(({ value }, index) =>
    t.true(Math.abs((decoded?.rows[index]?.value ?? 0) / value - 1) < 0.001),
  );
});

test('amounts beyond their range are limited to it', (t) => {
  const [row] = message.rows;
  const wide = { ...message, rows: row ? [{ ...row, ageMs: 1e9, weight: 1e9, value: 1e300 }] : [] };
  const [decoded] = decodeSpeedMessage(encode(wide))?.rows ?? [];
  t.is(decoded?.ageMs, 51_000);
  t.is(decoded?.weight, 25.5);
  t.true(Number.isFinite(decoded?.value));
});

test('ten rows take 108 bytes, and no message has more rows than one packet holds', (t) => {
  const rows = Array.from({ length: 1_000 }, () => message.rows).flat();
  t.is(encode({ ...message, rows: rows.slice(0, 10) }).length, 108);
  t.is(encode({ ...message, rows }).length, speedHeadBytes + maxSpeedRows * speedRowBytes);
});

test('rows of kinds that a later release adds are skipped', (t) => {
  const bytes = encode(message);
  bytes.writeUInt8(77, speedHeadBytes + 4);
  t.deepEqual(
    decodeSpeedMessage(bytes)?.rows.map(({ kind }) => kind),
    ['decodePace'],
  );
});

test('other bytes are not decoded', (t) => {
  const bytes = encode(message);
  const others = [
    Buffer.alloc(0),
    Buffer.from('spd1'),
    Buffer.from('["quota","10.0.0.1:7400"]'),
    bytes.subarray(0, bytes.length - 1),
    Buffer.concat([bytes, Buffer.alloc(1)]),
    Buffer.concat([bytes, Buffer.alloc(maxSpeedRows * speedRowBytes)]),
  ];
  others.forEach((other) => t.is(decodeSpeedMessage(other), undefined));
});

test('an address that is not IPv4 is not sent', (t) => {
  t.is(encodeSpeedMessage({ ...message, senderAddress: 'router-1:7400' }), undefined);
});
