import test from 'ava';
import {
  decodeCrashMessage,
  encodeCrashMessage,
  maxCrashesPerRequest,
  maxRequestsPerMessage,
  type CrashMessage,
} from '../src';

const crash = { serverId: 'i-7f3a91c2', ageMs: 1_200, durationMs: 60, isCleared: true };
const message: CrashMessage = {
  senderAddress: '10.1.0.38:7380',
  isQuestion: true,
  requests: [
    { fingerprint: 'b1946ac92492d2347c6235b4d2611184', crashes: [crash] },
    { fingerprint: 'part-5c1e07a2', depth: 0, crashes: [crash] },
  ],
};

test('a message survives its encoding', (t) => {
  t.deepEqual(decodeCrashMessage(encodeCrashMessage(message)), message);
});

test('additional elements of later formats are ignored', (t) => {
  const later = ['crash', '10.1.0.38:7380', 1, [['f', [['s', 5, 7, 0, 'new']], 'new']], 'new'];
  t.deepEqual(decodeCrashMessage(Buffer.from(JSON.stringify(later))), {
    senderAddress: '10.1.0.38:7380',
    isQuestion: true,
    requests: [
      { fingerprint: 'f', crashes: [{ serverId: 's', ageMs: 5, durationMs: 7, isCleared: false }] },
    ],
  });
});

test('bytes that are not such a message are rejected', (t) => {
  const texts = ['', '["crash"', '["crash","nowhere",0,[]]', '["quota","10.1.0.38:7380",0,[]]'];
  texts.forEach((text) => t.is(decodeCrashMessage(Buffer.from(text)), undefined));
});

test('a full message fits into two packets', (t) => {
  // A datagram in many fragments is lost if any of them is.
  const crashes = Array.from({ length: maxCrashesPerRequest + 5 }, () => ({
    ...crash,
    serverId: 'a-server-id-with-24-char',
  }));
  const requests = Array.from({ length: maxRequestsPerMessage + 5 }, () => ({
    fingerprint: 'b1946ac92492d2347c6235b4d2611184',
    crashes,
  }));
  const bytes = encodeCrashMessage({ ...message, requests });
  t.true(bytes.length < 2_400, `${bytes.length}`);
  t.is(decodeCrashMessage(bytes)?.requests.length, maxRequestsPerMessage);
});
