#!/usr/bin/env node
/** Command-line program `guavapitch-load`: sends traffic to proxies, compares results and replays named loads. */

import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {getErrorMessage} from '@guavapitch/core';
import {
	compareTables, computeWorstWindowsWorth, createTable, findLoad, formatPlot, formatTable, LOADS, runReplay, type TableRow,
} from '@guavapitch/emulator';
import {mergeFlagValues} from './arguments.js';
import type {EntryAddress} from './entries.js';
import {connectClients, runOpenLoop, type TrafficResult} from './traffic.js';

const FIRST_ARGUMENT_INDEX = 2;
const EXIT_FAILURE = 2;
const DEFAULT_DURATION_MS = 10_000;
const COMPARED_FIELDS = ['perSecond', 'p50', 'p99', 'max', 'refused', 'failed'] as const;

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const parseEntry = (text: string): EntryAddress => {
	const [host, port] = text.split(':');
	if (!host || !Number.isInteger(Number(port))) {
		throw new RangeError(`--target: expected host:port, got "${text}"`);
	}

	return {host, port: Number(port)};
};

const formatResult = ({sent, done, refused, failed, perSecond, p50, p99, max}: TrafficResult): string => [
	`sent ${sent}`,
	`done ${done}`,
	`refused ${refused}`,
	`failed ${failed}`,
	`${perSecond.toFixed(1)}/s`,
	`p50 ${p50.toFixed(2)} ms`,
	`p99 ${p99.toFixed(2)} ms`,
	`max ${max.toFixed(2)} ms`,
].join('  ');

const readResult = (file: string): TrafficResult => JSON.parse(readFileSync(file, 'utf8')) as TrafficResult;

const commandLine = yargs(mergeFlagValues(process.argv.slice(FIRST_ARGUMENT_INDEX)))
	.scriptName('guavapitch-load')
	.usage('$0 <command>\n\nExit codes: 0 success, 2 invalid setting.')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.demandCommand(1)
	.command('run', 'send statements at random times without waiting for responses', command => command
		.option('target', {
			type: 'string', array: true, demandOption: true, describe: 'addresses of the proxies, as host:port',
		})
		.option('key', {type: 'string', demandOption: true, describe: 'identifier of the key'})
		.option('secret', {type: 'string', describe: 'secret of the key; preferably set as GUAVAPITCH_SECRET'})
		.option('service', {type: 'string', demandOption: true, describe: 'service to use'})
		.option('statement', {type: 'string', default: 'SELECT 1', describe: 'statement to send'})
		.option('per-second', {type: 'number', default: 100, describe: 'statements per second'})
		.option('duration-ms', {type: 'number', default: DEFAULT_DURATION_MS, describe: 'duration of the run, in milliseconds'})
		.option('connections', {type: 'number', default: 8, describe: 'number of connections, distributed over the proxies'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of the random arrival times'})
		.option('output', {type: 'string', describe: 'file to write the result to, as JSON'}), async flags => {
		const login = {keyId: flags.key, secret: flags.secret, service: flags.service};
		const clients = await connectClients(flags.target.map(text => parseEntry(text)), login, flags.connections);
		const result = await runOpenLoop(clients, {
			perSecond: flags.perSecond,
			durationMs: flags.durationMs,
			seed: flags.seed,
			statement: flags.statement,
			onProgress(sent, done) {
				process.stderr.write(`sent ${sent} done ${done}\n`);
			},
		});
		await Promise.all(clients.map(async client => client.end()));
		print(formatResult(result));
		if (flags.output) {
			writeFileSync(flags.output, JSON.stringify(result, null, 1));
		}
	})
	.command('compare <before> <after>', 'print the ratios of two results', command => command
		.positional('before', {type: 'string', demandOption: true})
		.positional('after', {type: 'string', demandOption: true}), flags => {
		const before = readResult(flags.before);
		const after = readResult(flags.after);
		for (const name of COMPARED_FIELDS) {
			print(`${name}: ${before[name].toFixed(2)} -> ${after[name].toFixed(2)}, ratio ${(after[name] / before[name]).toFixed(3)}`);
		}
	})
	.command('replay <load>', 'replay a named load on emulated targets and callers', command => command
		.positional('load', {choices: LOADS.map(({name}) => name), demandOption: true})
		.option('seed', {type: 'number', default: 1, describe: 'seed of all random numbers'})
		.option('output', {type: 'string', describe: 'file to write the table to, as JSON'})
		.option('compare', {type: 'string', describe: 'table of another version, as JSON, to compare the result with'})
		.option('plot', {type: 'string', describe: 'file to write a plot of the worth per time window to, as SVG'}), async flags => {
		const load = findLoad(flags.load);
		if (!load) {
			throw new RangeError(`There is no load named ${flags.load}`);
		}

		const result = await runReplay(load, flags.seed);
		const rows = createTable(result);
		print(`${load.name}, seed ${flags.seed}: ${load.description}\n${formatTable(rows)}\nworst two windows: ${computeWorstWindowsWorth(rows).toFixed(3)}, connections opened: ${result.dialCount}`);
		if (flags.compare) {
			print(compareTables(JSON.parse(readFileSync(flags.compare, 'utf8')) as readonly TableRow[], rows));
		}

		if (flags.output) {
			writeFileSync(flags.output, JSON.stringify(rows, undefined, '\t'));
		}

		if (flags.plot) {
			writeFileSync(flags.plot, formatPlot(result));
		}
	})
	.fail((message: string, error: unknown) => {
		throw error instanceof Error ? error : new RangeError(message);
	})
	.exitProcess(false);

try {
	await commandLine.parseAsync();
} catch (error) {
	process.stderr.write(`guavapitch-load: ${getErrorMessage(error)}\n`);
	process.exitCode = EXIT_FAILURE;
}
