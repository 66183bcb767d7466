/**
 * Preloaded into stand-ins, which do not watch their parent process themselves. Exits when standard input ends, because
 * then the script that started the process is gone.
 */
process.stdin.once('end', () => process.exit(0));
process.stdin.once('error', () => process.exit(0));
process.stdin.resume();
process.stdin.unref?.();
