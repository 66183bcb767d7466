import { connect } from 'node:net';
import test from 'ava';
import { isConnectError } from '@bluebellhitch/shared';

const errorWith = (fields: Record<string, string>) => Object.assign(new Error('failed'), fields);

['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'].forEach((code) => {
  test(`a call that cannot connect was not sent, and one whose connection fails may have been: ${code}`, (t) => {
    // A host that is lost behind an established connection is reported with the same code. Its request counted as one that
    // had not run, and was sent to a second server.
    t.true(isConnectError(errorWith({ code, syscall: 'connect' })));
    t.false(isConnectError(errorWith({ code, syscall: 'read' })));
    t.false(isConnectError(errorWith({ code, syscall: 'write' })));
    t.false(isConnectError(errorWith({ code })));
  });
});

test('a connection that takes too long was not established', (t) => {
  t.true(isConnectError(errorWith({ code: 'UND_ERR_CONNECT_TIMEOUT' })));
  t.false(isConnectError(errorWith({ code: 'ETIMEDOUT', syscall: 'read' })));
});

test('none of several addresses must have been connected to', (t) => {
  const refused = errorWith({ code: 'ECONNREFUSED', syscall: 'connect' });
  t.true(isConnectError(new AggregateError([refused, refused])));
  t.false(isConnectError(new AggregateError([refused, errorWith({ code: 'ECONNRESET' })])));
  t.false(isConnectError(new AggregateError([])));
});

test('an error of the system itself is one: a closed port', async (t) => {
  const error = await new Promise((resolve) => {
    connect({ host: '127.0.0.1', port: 1 }).once('error', resolve);
  });
  t.true(isConnectError(error));
});

test('what is no error is none', (t) => {
  [undefined, null, 'ECONNREFUSED', {}].forEach((value) => t.false(isConnectError(value)));
});
