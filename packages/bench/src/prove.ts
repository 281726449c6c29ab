#!/usr/bin/env node
/** Development script: runs consistency checks with many seeded fault schedules. */

import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {FAILOVER_PHASES} from './failover-phases.js';
import {runConsistencyCheck, type ConsistencyCheckOptions, type ConsistencyCheckResult} from './consistency-check.js';
import type {FaultKind} from './faults.js';
import {computePercentile} from './statistics.js';

const FIRST_ARGUMENT_INDEX = 2;
const DEFAULT_DURATION_MS = 7000;
const MAX_SHOWN_VIOLATIONS = 3;
/** Width of the column with the names of the failover phases, in characters. */
const PHASE_WIDTH = 24;
const PERCENTILES = [0.5, 0.9, 0.99] as const;

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const formatVerdict = ({failure, violations}: ConsistencyCheckResult): string => {
	if (failure) {
		return `RUN FAILED ${failure}`;
	}

	const descriptions = violations.map(violation => `${violation.promise}: ${violation.detail}`).slice(0, MAX_SHOWN_VIOLATIONS);
	return descriptions.length === 0 ? 'held' : `BROKEN ${descriptions.join('; ')}`;
};

const formatResult = (result: ConsistencyCheckResult): string => {
	const faults = result.faults.map(({fault, target, at}) => `${fault.kind}(${target})@${Math.round(at)}+${Math.round(fault.forMs)}`).join(' ');
	return `seed ${result.seed}  gap ${Math.round(result.gapMs)} ms  ${formatVerdict(result)}  [${faults}]  ${Object.entries(result.counts).map(([key, count]) => `${key}=${count}`).join(' ')}`;
};

/** Prints percentiles of the duration of each failover phase. */
const printPhases = (checkResults: readonly ConsistencyCheckResult[]) => {
	const phasesOfRuns = checkResults.map(result => result.phases).filter(phases => phases !== undefined);
	for (const phase of phasesOfRuns.length > 0 ? FAILOVER_PHASES : []) {
		const sorted = phasesOfRuns.map(phases => phases[phase]).toSorted((a, b) => a - b);
		print(`  ${phase.padEnd(PHASE_WIDTH)}${PERCENTILES.map(fraction => `p${fraction * 100} ${Math.round(computePercentile(sorted, fraction))}`).join('  ')} ms`);
	}
};

const printTimeline = (result: ConsistencyCheckResult) => {
	const events = result.events.toSorted((a, b) => String(a.at) < String(b.at) ? -1 : 1);
	for (const event of events) {
		print(`${String(event.at)} ${String(event.vm)} ${String(event.id)} ${String(event.title)} ${JSON.stringify(event.fields)}`);
	}
};

const flags = await yargs(process.argv.slice(FIRST_ARGUMENT_INDEX))
	.scriptName('prove')
	.strict()
	.option('seed', {type: 'number', default: 1, describe: 'first seed'})
	.option('runs', {type: 'number', default: 1, describe: 'number of fault schedules to run'})
	.option('parallel', {type: 'number', default: 3, describe: 'schedules to run in parallel'})
	.option('example', {choices: ['dvorak', 'siphon'] as const, default: 'siphon' as const, describe: 'example inventory whose first database is checked'})
	.option('duration-ms', {type: 'number', default: DEFAULT_DURATION_MS, describe: 'duration of a schedule, in milliseconds'})
	.option('only', {type: 'string', describe: 'inject a single fault of this kind'})
	.option('without', {choices: ['replication'] as const, describe: 'mechanism to switch off'})
	.option('proxies', {type: 'number', default: 1, describe: 'proxies in each data centre'})
	.option('lag-ms', {type: 'number', default: 20, describe: 'replication lag of the replicas, in milliseconds'})
	.option('output', {type: 'string', default: 'out/prove', describe: 'folder for the results of runs that violate a guarantee or fail'})
	.parse();

const results: ConsistencyCheckResult[] = [];
let nextSeed = flags.seed;
const lastSeed = flags.seed + flags.runs - 1;

const runWorker = async () => {
	while (nextSeed <= lastSeed) {
		const seed = nextSeed++;
		const options: ConsistencyCheckOptions = {
			seed, example: flags.example, durationMs: flags.durationMs, proxiesPerDataCentre: flags.proxies, lagMs: flags.lagMs,
			...(flags.only ? {onlyFault: flags.only as FaultKind} : {}),
			...(flags.without ? {disabledMechanism: flags.without} : {}),
		};
		const result = await runConsistencyCheck(options);
		results.push(result);
		print(formatResult(result));
		if (flags.runs === 1) {
			printTimeline(result);
		}

		if (result.violations.length > 0 || result.failure) {
			mkdirSync(flags.output, {recursive: true});
			writeFileSync(`${flags.output}/seed-${seed}.json`, JSON.stringify(result, null, 1));
		}
	}
};

await Promise.all(Array.from({length: Math.min(flags.parallel, flags.runs)}, runWorker));
const brokenCount = results.filter(result => result.violations.length > 0).length;
const failedCount = results.filter(result => result.failure !== undefined).length;
const gapsMs = results.filter(result => !result.failure).map(result => result.gapMs).toSorted((a, b) => a - b);
print(`schedules ${results.length}  held ${results.length - brokenCount - failedCount}  broken ${brokenCount}  run failed ${failedCount}`);
print(`write gap ms  ${PERCENTILES.map(fraction => `p${fraction * 100} ${Math.round(computePercentile(gapsMs, fraction))}`).join('  ')}  max ${Math.round(gapsMs.at(-1) ?? 0)}`);
printPhases(results);
const replicaReadCount = results.reduce((sum, result) => sum + result.reads.replica, 0);
const readCount = results.reduce((sum, result) => sum + result.reads.all, 0);
print(`reads on replicas  ${replicaReadCount} of ${readCount}  ${(100 * replicaReadCount / Math.max(1, readCount)).toFixed(1)} %`);
process.exitCode = brokenCount + failedCount > 0 ? 1 : 0;
