import test from 'ava';
import {
  blockTokens,
  estimateTokens,
  prefixBlockHashes,
  samplePrefixBlocks,
  sampledPrefixDepth,
} from '@bluebellhitch/protocol';

const block = 'x'.repeat(blockTokens * 4);

test('prompts with a common prefix share exactly the hashes of its full blocks', (t) => {
  const left = prefixBlockHashes(`${block}${block}left${block}`);
  const right = prefixBlockHashes(`${block}${block}right${block}`);
  t.is(left.length, 3);
  t.deepEqual(left.slice(0, 2), right.slice(0, 2));
  t.not(left[2], right[2]);
});

test('the same block at another position has another hash', (t) => {
  const [first, second] = prefixBlockHashes(`${block}${block}`);
  t.not(first, second);
});

test('a prompt shorter than a block has no hashes, and its token count is rounded up', (t) => {
  t.deepEqual(prefixBlockHashes('short'), []);
  t.is(estimateTokens('short'), 2);
});

test('sampled hashes estimate the cached prefix to within a fifth with far fewer hashes', (t) => {
  const hashes = prefixBlockHashes(
    Array.from({ length: 700 }, (_, index) => `${index}`.padEnd(256)).join(''),
  );
  const sampled = samplePrefixBlocks(hashes);
  t.is(hashes.length, 700);
  t.true(sampled.length < 30, `${sampled.length}`);
  hashes.forEach((_, index) => {
    const cachedDepth = index + 1;
    const known = new Set(hashes.slice(0, cachedDepth));
    const count = sampled.filter((hash) => known.has(hash)).length;
    const estimate = sampledPrefixDepth(count);
    t.true(estimate <= cachedDepth && estimate >= cachedDepth * 0.8, `${cachedDepth}: ${estimate}`);
  });
});
