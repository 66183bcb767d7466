import test from 'ava';
import { createPrefillBacklog } from '../src';

test('an idle engine has no wait', (t) => {
  const backlog = createPrefillBacklog();
  t.is(backlog.waitMs(0), 0);
  t.is(backlog.msPerToken(), 0.1);
});

test('a prompt waits for all before it, less the time already spent on the first one', (t) => {
  const backlog = createPrefillBacklog({ initialMsPerToken: 0.1 });
  backlog.begin('a', 1_000, 0);
  backlog.begin('b', 2_000, 10);
  t.is(backlog.waitMs(10), 290);
  t.is(backlog.waitMs(60), 240);
  t.is(backlog.waitMs(900), 200, 'the first one is overdue and may end at any moment');
});

test('the time per token is learned from a prompt together with those ahead of it', (t) => {
  const backlog = createPrefillBacklog();
  backlog.begin('a', 1_000, 0);
  backlog.begin('b', 1_000, 0);
  backlog.finish('a', 50);
  backlog.finish('b', 100);
  t.true(Math.abs(backlog.msPerToken() - 0.0667) < 0.001, `${backlog.msPerToken()}`);
  t.is(backlog.waitMs(100), 0);
});

test('ignores the duration of short prompts, and the tokens of dropped prompts', (t) => {
  const backlog = createPrefillBacklog();
  backlog.begin('short', 20, 0);
  backlog.finish('short', 60);
  backlog.begin('gone', 4_000, 60);
  backlog.drop('gone');
  backlog.finish('gone', 90);
  backlog.drop('unknown');
  t.is(backlog.msPerToken(), 0.1);
  t.is(backlog.waitMs(90), 0);
});
