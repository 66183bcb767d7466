/**
 * `node scripts/dayCeilings.mjs SITE.toml [--journal DIRECTORY]`: prints an upper bound of the worth of each standard
 * day of a site, before prices, and what the last score in the journal reached. It uses a fluid model in steps of half
 * a second: streams are served as long as the engines can prefill their prompts and hold their KV memory; the final
 * fault ends those in progress and takes the machines down; nothing else is lost. Other faults can only reduce the
 * worth, so the figure is an upper bound.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { parse } from 'smol-toml';

const stepS = 0.5;
const windowS = 2;
const msPerSecond = 1_000;
/** Time from power-on, or from the end of a kill, to the first response, measured on restarts with half a CPU core. */
const restartS = 0.35;
/** Streams that start later than this after their arrival miss their latency target. */
const streamTargetS = 0.9;
/** Shares of the engines to try for prefill; the best is the one where neither stage limits the other. */
const prefillShares = [0.1, 0.15, 0.2, 0.25, 0.3];

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { journal: { type: 'string', default: 'journal' } },
});
const site = parse(readFileSync(positionals[0], 'utf8'));
const classes = new Map(site.classes.map((trafficClass) => [trafficClass.name, trafficClass]));
const engineService = site.services.find(({ model }) => model === 'llm');
const engines = engineService.servers.reduce((sum, { count }) => sum + count, 0) * (site.thin ?? 1);

/** Streams per second that the engines can serve with the best share of prefill engines. */
function streamCapacity() {
  const { llm } = engineService;
  const model = site.classes.find(({ service }) => service === engineService.name);
  const promptTokens = model.stream.prompt_tokens.mean + model.stream.chain[0].tokens.mean;
  const outputTokens = model.stream.pieces.mean * llm.stride;
  const capacityAt = (share) => {
    const prefillRate = (engines * share * llm.prefill_tokens_per_ms * msPerSecond) / promptTokens;
    const decodeKvTokens = engines * (1 - share) * llm.kv_tokens;
    const durationS = streamSeconds(llm, outputTokens, promptTokens);
    return {
      rate: Math.min(prefillRate, decodeKvTokens / ((promptTokens + outputTokens / 2) * durationS)),
      durationS,
    };
  };
  return prefillShares
    .map(capacityAt)
    .reduce((best, candidate) => (candidate.rate > best.rate ? candidate : best));
}

/** Duration of a stream at the batch size that memory allows; each request in the batch slows down the steps. */
function streamSeconds(llm, outputTokens, promptTokens) {
  const batch = Math.min(llm.batch, llm.kv_tokens / (promptTokens + outputTokens / 2));
  const stepMs = llm.step_ms + llm.step_ms_per_slot * batch;
  return (outputTokens * stepMs) / msPerSecond;
}

const isStream = ({ kind }) => kind === 'stream';
const sum = (numbers) => numbers.reduce((total, number) => total + number, 0);

/** Requests per second of each class at a given time, without the slow wave of the traffic. */
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

/** Share of its worth that a request can earn if it arrives at a given time; only the final fault reduces it. */
function earnableShare(trafficClass, atS, day, capacity) {
  if (day.closing === undefined) {
    return 1;
  }
  return atS < site.length_s
    ? shareBeforeFault(trafficClass, atS, capacity)
    : shareAfterFault(trafficClass, atS, day.closing);
}

/** A stream that the fault interrupts earns what a late stream earns if its caller may resume it, otherwise nothing. */
function shareBeforeFault(trafficClass, atS, capacity) {
  if (!isStream(trafficClass) || atS + capacity.durationS <= site.length_s) {
    return 1;
  }
  return trafficClass.stream.resume ? trafficClass.late_worth / trafficClass.worth : 0;
}

/** A request that arrives while the machines are down is late, unless they are back within its latency target. */
function shareAfterFault(trafficClass, atS, closing) {
  const backUpAtS = site.length_s + (closing.down_s ?? 0) + restartS;
  const targetS = isStream(trafficClass) ? streamTargetS : trafficClass.aim_ms / msPerSecond;
  return backUpAtS - atS < targetS ? 1 : trafficClass.late_worth / trafficClass.worth;
}

function dayCeiling(day) {
  const capacity = streamCapacity();
  const steps = Math.round((site.length_s + (day.closing === undefined ? 0 : 8)) / stepS);
  const possible = new Map();
  const earned = new Map();
  const windows = new Map();
  const counts = { sent: 0, unserved: 0 };
  for (let step = 0; step < steps; step += 1) {
    const atS = step * stepS;
    const offered = offeredAt(day, atS);
    const streams = sum(
      [...offered].filter(([name]) => isStream(classes.get(name))).map(([, rate]) => rate),
    );
    const streamShare = Math.min(1, capacity.rate / streams);
    [...offered].forEach(([name, rate]) => {
      const trafficClass = classes.get(name);
      const worth = rate * stepS * trafficClass.worth;
      const errorShare = trafficClass.error_share ?? 0;
      const successShare = trafficClass.kind === 'safe' ? 1 - errorShare ** 2 : 1 - errorShare;
      const servedShare = isStream(trafficClass) ? streamShare : successShare;
      const share = servedShare * earnableShare(trafficClass, atS, day, capacity);
      counts.sent += rate * stepS;
      counts.unserved += rate * stepS * (share === 0 ? 1 : 1 - servedShare);
      const window = Math.floor(atS / windowS);
      const totals = windows.get(window) ?? { possible: 0, earned: 0 };
      windows.set(window, {
        possible: totals.possible + worth,
        earned: totals.earned + worth * share,
      });
      possible.set(name, (possible.get(name) ?? 0) + worth);
      earned.set(name, (earned.get(name) ?? 0) + worth * share);
    });
  }
  const overall = sum([...earned.values()]) / sum([...possible.values()]);
  const shares = [...windows.values()].map((totals) => totals.earned / totals.possible);
  const worstWindows = sum([...shares].sort((left, right) => left - right).slice(0, 2)) / 2;
  const worstClass = Math.min(...[...possible].map(([name, worth]) => earned.get(name) / worth));
  const { mean = 0, window = 0, class: classWeight = 0, nines = 0 } = site.goal;
  const ninesReached = Math.min(
    1,
    Math.log(counts.unserved / counts.sent) / Math.log(site.goal.nines_best),
  );
  return mean * overall + window * worstWindows + classWeight * worstClass + nines * ninesReached;
}

function lastScore() {
  const entries = readdirSync(values.journal)
    .filter((name) => name.endsWith('.json'))
    .sort()
    .map((name) => JSON.parse(readFileSync(join(values.journal, name), 'utf8')))
    .filter(({ cmd, site: siteName }) => cmd === 'score' && siteName === site.name);
  return entries.at(-1);
}

const last = lastScore();
const reachedWorth = (name) => last?.days.find((day) => day.name === name)?.G;
const rows = site.day.map((day) => {
  const ceiling = dayCeiling(day);
  const reached = reachedWorth(day.name);
  const ratio = reached === undefined ? '-' : (reached / ceiling).toFixed(2);
  return `| ${day.name} | ${ceiling.toFixed(3)} | ${reached?.toFixed(3) ?? '-'} | ${ratio} |`;
});
process.stdout.write(
  [
    `${site.name}, reached in journal ${last?.id ?? '-'}`,
    '',
    '| day | ceiling before prices | reached | reached / ceiling |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n'),
);
