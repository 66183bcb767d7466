/**
 * A model of engines that end under a part of prompts or for other causes, while callers send sound requests that share
 * parts. All routers know all evidence at once.
 */
import type { Random } from '@bluebellhitch/shared';
import { fleetQuarantinePolicy } from '../../src/fleetQuarantinePolicy';
import { createQuarantine, type Quarantine } from '../../src/quarantine';
import { judgeRecord } from '../../src/quarantineVerdicts';
import { createUnsettledRuns } from '../../src/unsettledRuns';

export interface CrashModelOptions {
  random: Random;
  engineCount: number;
  requestsPerSecond: number;
  /** Number of parts at the second position that sound requests share. */
  subjectCount: number;
  /** Share of the requests that have the harmful part. */
  harmfulShare: number;
  /** How often an engine ends for another cause. */
  otherCrashesPerSecond: number;
  /** How many engines such a cause ends, one every 150 ms. */
  enginesPerCause?: number;
  durationMs: number;
  /** Judges each record by itself, for comparison. */
  isAlone?: boolean;
}

export interface CrashModelResult {
  /** Engines that ended under the harmful part. */
  harmfulCrashes: number;
  /** Harmful requests that reached engines later than the contact time after the fifth of these crashes. */
  lateArrivals: number;
  otherCrashes: number;
  soundRequests: number;
  /** Sound requests that were refused. */
  refused: number;
  /** Fingerprints other than the harmful part and its requests that were held at some time. */
  wronglyHeld: Set<string>;
}

interface Run {
  id: string;
  parts: string[];
  engine: number;
  incarnation: string;
  startedAtMs: number;
  endsAtMs: number;
  hasBegun: boolean;
}

export const firstPart = 'first';
export const harmfulPart = 'harmful';
const policy = fleetQuarantinePolicy;
const service = '*';
const stepMs = 10;
const msPerSecond = 1_000;
const settleMs = 1_000;
const confirmMs = 500;
const noticeMs = 20;
const downMs = 2_500;
const toleratedCrashes = 5;
const contactMs = 3_000;

export function playCrashes(options: CrashModelOptions): CrashModelResult {
  const { random, engineCount, requestsPerSecond, subjectCount, durationMs } = options;
  const quarantine = createQuarantine({ lifetimeMs: policy.memoryMs });
  const unsettled = createUnsettledRuns<Run>({ settleMs });
  const wronglyHeld = new Set<string>();
  const incarnations = Array.from({ length: engineCount }, () => 0);
  const downUntilMs = Array.from({ length: engineCount }, () => 0);
  const ended = new Set<string>();
  let runs: Run[] = [];
  let events: { atMs: number; apply: (nowMs: number) => void }[] = [];
  const result: CrashModelResult = {
    ...{ harmfulCrashes: 0, lateArrivals: 0, otherCrashes: 0 },
    ...{ soundRequests: 0, refused: 0, wronglyHeld },
  };
  let boundFromMs = Infinity;
  let number = 0;

  const later = (atMs: number, apply: (nowMs: number) => void) => events.push({ atMs, apply });
  const incarnationOf = (engine: number) => `e${engine}-${incarnations[engine]}`;

  function isHeld(fingerprint: string, nowMs: number): boolean {
    const isJudgedHeld = options.isAlone
      ? judgeRecord(quarantine.record(service, fingerprint), {
          policy,
          nowMs,
          isWidespread: () => false,
        }).kind === 'quarantined'
      : isHeldTogether(quarantine, fingerprint, nowMs);
    if (isJudgedHeld && fingerprint !== harmfulPart && !fingerprint.startsWith('harmful')) {
      wronglyHeld.add(fingerprint);
    }
    return isJudgedHeld;
  }

  function strike(run: Run, nowMs: number, withParts: boolean): void {
    const { id, parts, incarnation, startedAtMs } = run;
    const base = { service, attemptId: incarnation, instanceId: incarnation, startedAtMs };
    quarantine.strike({ ...base, fingerprint: id }, nowMs);
    if (withParts) {
      parts.forEach((fingerprint, depth) =>
        quarantine.strike({ ...base, fingerprint, depth }, nowMs),
      );
    }
  }

  function crash(engine: number, nowMs: number): void {
    const incarnation = incarnationOf(engine);
    if (ended.has(incarnation)) {
      return;
    }
    ended.add(incarnation);
    const cut = runs.filter((run) => run.incarnation === incarnation);
    runs = runs.filter((run) => run.incarnation !== incarnation);
    downUntilMs[engine] = nowMs + downMs;
    incarnations[engine] = (incarnations[engine] ?? 0) + 1;
    later(nowMs + noticeMs, (atMs) => {
      const suspects = new Set(unsettled.noteEnded(incarnation, nowMs));
      cut.forEach((run) => strike(run, atMs, !run.hasBegun || suspects.has(run)));
      [...suspects].filter((run) => !cut.includes(run)).forEach((run) => strike(run, atMs, true));
    });
  }

  function begin(run: Run, nowMs: number): void {
    if (ended.has(run.incarnation)) {
      return;
    }
    run.hasBegun = true;
    unsettled.begin(run.incarnation, run, nowMs);
    if (run.parts.includes(harmfulPart)) {
      later(nowMs + 40 + random() * 210, (atMs) => {
        result.harmfulCrashes += ended.has(run.incarnation) ? 0 : 1;
        if (result.harmfulCrashes === toleratedCrashes) {
          boundFromMs = Math.min(boundFromMs, atMs + contactMs);
        }
        crash(run.engine, atMs);
      });
    }
  }

  function confirm(run: Run, nowMs: number): void {
    later(nowMs + confirmMs, (atMs) => {
      if (!ended.has(run.incarnation)) {
        run.parts.forEach((part) => quarantine.noteSoundPart(service, part, atMs));
        quarantine.clear(service, run.id);
      }
    });
  }

  function send(nowMs: number): void {
    number += 1;
    const isHarmful = random() < options.harmfulShare;
    const subject = `subject ${Math.floor(random() ** 2 * subjectCount)}`;
    const parts = [firstPart, isHarmful ? harmfulPart : subject];
    const id = isHarmful ? `harmful request ${number}` : `request ${number}`;
    const usable = downUntilMs.flatMap((untilMs, engine) => (untilMs <= nowMs ? [engine] : []));
    result.soundRequests += isHarmful ? 0 : 1;
    if ([id, ...parts].filter((fingerprint) => isHeld(fingerprint, nowMs)).length > 0) {
      result.refused += isHarmful ? 0 : 1;
      return;
    }
    const engine = usable[Math.floor(random() * usable.length)];
    if (engine !== undefined) {
      result.lateArrivals += isHarmful && nowMs > boundFromMs ? 1 : 0;
      const times = { startedAtMs: nowMs, endsAtMs: nowMs + 300 + random() * 2_000 };
      const run = { id, parts, engine, incarnation: incarnationOf(engine), hasBegun: false };
      const started: Run = { ...run, ...times };
      runs.push(started);
      later(nowMs + 50 + random() * 200, (atMs) => begin(started, atMs));
    }
  }

  function crashOthers(nowMs: number): void {
    const engines = Array.from({ length: options.enginesPerCause ?? 1 }, () =>
      Math.floor(random() * engineCount),
    );
    engines.forEach((engine, index) => {
      result.otherCrashes += 1;
      later(nowMs + index * 150, (atMs) => crash(engine, atMs));
    });
  }

  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    const due = events.filter(({ atMs }) => atMs <= nowMs);
    events = events.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ apply }) => apply(nowMs));
    runs = runs.filter(({ endsAtMs }) => endsAtMs > nowMs);
    runs
      .filter(({ hasBegun }) => hasBegun)
      .forEach(({ incarnation }) =>
        unsettled.noteAlive(incarnation, nowMs).forEach((run) => confirm(run, nowMs)),
      );
    if (random() < (requestsPerSecond * stepMs) / msPerSecond) {
      send(nowMs);
    }
    if (random() < (options.otherCrashesPerSecond * stepMs) / msPerSecond) {
      crashOthers(nowMs);
    }
  }
  return result;
}

function isHeldTogether(quarantine: Quarantine, fingerprint: string, nowMs: number): boolean {
  const verdict = quarantine.verdict({ service, fingerprint, policy, nowMs });
  return verdict.kind === 'quarantined' && verdict.isTrialDue !== true;
}
