/**
 * Loaded before a stand-in, which does not watch its parent by itself: ends the process when its
 * standard input ends, because the script that started it is gone.
 */
process.stdin.once('end', () => process.exit(0));
process.stdin.once('error', () => process.exit(0));
process.stdin.resume();
process.stdin.unref?.();
