import test from 'ava';
import { blockTokens, estimateTokens, prefixBlockHashes } from '@bluebellhitch/protocol';

const block = 'x'.repeat(blockTokens * 4);

test('prompts with a shared beginning share exactly the hashes of the full blocks in it', (t) => {
  const left = prefixBlockHashes(`${block}${block}left${block}`);
  const right = prefixBlockHashes(`${block}${block}right${block}`);
  t.is(left.length, 3);
  t.deepEqual(left.slice(0, 2), right.slice(0, 2));
  t.not(left[2], right[2]);
});

test('the same block at another place has another hash', (t) => {
  const [first, second] = prefixBlockHashes(`${block}${block}`);
  t.not(first, second);
});

test('a prompt shorter than a block has no hashes, and its length rounds up', (t) => {
  t.deepEqual(prefixBlockHashes('short'), []);
  t.is(estimateTokens('short'), 2);
});
