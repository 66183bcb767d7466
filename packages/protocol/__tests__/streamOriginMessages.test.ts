import test from 'ava';
import {
  decodeStreamOriginMessage,
  encodeStreamOriginMessage,
  maxStreamsPerMessage,
} from '@bluebellhitch/protocol';

const origin = { serviceName: 's', softwareVersion: 'v1.1' };
const message = {
  kind: 'answer' as const,
  senderAddress: '10.1.2.3:7400',
  streams: [{ digest: 'a1', origin }, { digest: 'b2' }],
};

test('a message is decoded as it was encoded, with known and unknown streams', (t) => {
  t.deepEqual(decodeStreamOriginMessage(encodeStreamOriginMessage(message)), message);
});

test('a message holds a limited number of streams', (t) => {
  const streams = Array.from({ length: 40 }, (_none, index) => ({ digest: `${index}`, origin }));
  const decoded = decodeStreamOriginMessage(encodeStreamOriginMessage({ ...message, streams }));
  t.is(decoded?.streams.length, maxStreamsPerMessage);
});

test('bytes that are not a message are ignored', (t) => {
  // Anyone may send to the port.
  const bytes = encodeStreamOriginMessage(message);
  const damaged = [
    Buffer.from(''),
    bytes.subarray(0, bytes.length - 2),
    Buffer.from(bytes.toString().replace('answer', 'other')),
    Buffer.from('["stream","answer","10.1.2.3:7400",[["a1","s"]]]'),
    Buffer.from('["stream","answer","10.1.2.3:7400",[["a1",1,2]]]'),
    Buffer.from('["stream","answer","nowhere",[]]'),
  ];
  damaged.forEach((each) => t.is(decodeStreamOriginMessage(each), undefined));
});
