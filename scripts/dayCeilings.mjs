/**
 * `node scripts/dayCeilings.mjs SITE.toml [--journal DIRECTORY]`: the most that each standard day of a site could be
 * worth, before prices, beside what the journal's last score reached. A fluid model in steps of half a second: streams
 * are served while the engines can read their prompts and hold their memory; the final fault ends those in progress and
 * leaves the machines dark; nothing else is lost. Other faults only take away, so the figure is an upper bound.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { parse } from 'smol-toml';

const stepS = 0.5;
const windowS = 2;
const msPerSecond = 1_000;
/** From power or a kill's end to the first answer, as measured of restarts with half a core. */
const restartS = 0.35;
/** Requests later than this after their arrival miss their aim. */
const streamAimS = 0.9;
/** Stages are divided best where neither binds before the other. */
const prefillShares = [0.1, 0.15, 0.2, 0.25, 0.3];

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { journal: { type: 'string', default: 'journal' } },
});
const site = parse(readFileSync(positionals[0], 'utf8'));
const classes = new Map(site.classes.map((one) => [one.name, one]));
const engineService = site.services.find(({ model }) => model === 'llm');
const engines = engineService.servers.reduce((sum, { count }) => sum + count, 0) * (site.thin ?? 1);

/** Streams a second that the engines can serve, with the best division of stages. */
function streamCapacity() {
  const { llm } = engineService;
  const model = site.classes.find(({ service }) => service === engineService.name);
  const promptTokens = model.stream.prompt_tokens.mean + model.stream.chain[0].tokens.mean;
  const outputTokens = model.stream.pieces.mean * llm.stride;
  const perSecond = (share) => {
    const read = (engines * share * llm.prefill_tokens_per_ms * msPerSecond) / promptTokens;
    const memory = engines * (1 - share) * llm.kv_tokens;
    const holdS = streamSeconds(llm, outputTokens, promptTokens);
    return { rate: Math.min(read, memory / ((promptTokens + outputTokens / 2) * holdS)), holdS };
  };
  return prefillShares.map(perSecond).reduce((best, one) => (one.rate > best.rate ? one : best));
}

/** With the batch that memory allows: each step is slower by the requests beside. */
function streamSeconds(llm, outputTokens, promptTokens) {
  const batch = Math.min(llm.batch, llm.kv_tokens / (promptTokens + outputTokens / 2));
  const stepMs = llm.step_ms + llm.step_ms_per_slot * batch;
  return (outputTokens * stepMs) / msPerSecond;
}

const isStream = ({ kind }) => kind === 'stream';
const sum = (numbers) => numbers.reduce((total, one) => total + one, 0);

/** Requests a second of each class at a moment, without the traffic's own slow wave. */
function offeredAt(day, atS) {
  const offered = new Map();
  day.traffic.forEach(({ mix, per_s: perSecond }) => {
    const total = sum(Object.values(mix));
    Object.entries(mix).forEach(([name, weight]) => {
      offered.set(name, (offered.get(name) ?? 0) + ((site.thin ?? 1) * perSecond * weight) / total);
    });
  });
  day.faults
    .filter(({ kind, at, for_s: forS }) => kind === 'burst' && atS >= at && atS < at + forS)
    .forEach(({ x, class: only }) => {
      [...offered.keys()]
        .filter((name) => only === undefined || only === name)
        .forEach((name) => offered.set(name, offered.get(name) * x));
    });
  return offered;
}

/** The part of a class's credit that requests of a moment can still earn: the final fault is all that takes away. */
function creditShare(one, atS, day, capacity) {
  if (day.closing === undefined) {
    return 1;
  }
  return atS < site.length_s ? beforeFault(one, atS, capacity) : afterFault(one, atS, day.closing);
}

/** A stream that the fault cuts off earns what a late one does where its caller may resume it. */
function beforeFault(one, atS, capacity) {
  if (!isStream(one) || atS + capacity.holdS <= site.length_s) {
    return 1;
  }
  return one.stream.resume ? one.late_worth / one.worth : 0;
}

/** Who comes while the machines are dark is served late, unless they are back within the aim. */
function afterFault(one, atS, closing) {
  const upS = site.length_s + (closing.down_s ?? 0) + restartS;
  const aimS = isStream(one) ? streamAimS : one.aim_ms / msPerSecond;
  return upS - atS < aimS ? 1 : one.late_worth / one.worth;
}

function dayCeiling(day) {
  const capacity = streamCapacity();
  const steps = Math.round((site.length_s + (day.closing === undefined ? 0 : 8)) / stepS);
  const owed = new Map();
  const earned = new Map();
  const windows = new Map();
  const counts = { sent: 0, unserved: 0 };
  for (let step = 0; step < steps; step += 1) {
    const atS = step * stepS;
    const offered = offeredAt(day, atS);
    const streams = sum(
      [...offered].filter(([name]) => isStream(classes.get(name))).map(([, rate]) => rate),
    );
    const served = Math.min(1, capacity.rate / streams);
    [...offered].forEach(([name, rate]) => {
      const one = classes.get(name);
      const worth = rate * stepS * one.worth;
      const failing = one.error_share ?? 0;
      const sound = one.kind === 'safe' ? 1 - failing ** 2 : 1 - failing;
      const servedShare = isStream(one) ? served : sound;
      const share = servedShare * creditShare(one, atS, day, capacity);
      counts.sent += rate * stepS;
      counts.unserved += rate * stepS * (share === 0 ? 1 : 1 - servedShare);
      const window = Math.floor(atS / windowS);
      const known = windows.get(window) ?? { owed: 0, earned: 0 };
      windows.set(window, { owed: known.owed + worth, earned: known.earned + worth * share });
      owed.set(name, (owed.get(name) ?? 0) + worth);
      earned.set(name, (earned.get(name) ?? 0) + worth * share);
    });
  }
  const whole = sum([...earned.values()]) / sum([...owed.values()]);
  const shares = [...windows.values()].map((one) => one.earned / one.owed);
  const worst = sum([...shares].sort((left, right) => left - right).slice(0, 2)) / 2;
  const worstClass = Math.min(...[...owed].map(([name, one]) => earned.get(name) / one));
  const { mean = 0, window = 0, class: ofClass = 0, nines = 0 } = site.goal;
  const ninesReached = Math.min(
    1,
    Math.log(counts.unserved / counts.sent) / Math.log(site.goal.nines_best),
  );
  return mean * whole + window * worst + ofClass * worstClass + nines * ninesReached;
}

function lastScore() {
  const entries = readdirSync(values.journal)
    .filter((name) => name.endsWith('.json'))
    .sort()
    .map((name) => JSON.parse(readFileSync(join(values.journal, name), 'utf8')))
    .filter(({ cmd, site: played }) => cmd === 'score' && played === site.name);
  return entries.at(-1);
}

const last = lastScore();
const reachedOf = (name) => last?.days.find((day) => day.name === name)?.G;
const rows = site.day.map((day) => {
  const ceiling = dayCeiling(day);
  const reached = reachedOf(day.name);
  const part = reached === undefined ? '-' : (reached / ceiling).toFixed(2);
  return `| ${day.name} | ${ceiling.toFixed(3)} | ${reached?.toFixed(3) ?? '-'} | ${part} |`;
});
process.stdout.write(
  [
    `${site.name}, reached in journal ${last?.id ?? '-'}`,
    '',
    '| day | ceiling before prices | reached | part |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n'),
);
