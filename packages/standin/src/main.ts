#!/usr/bin/env node
/** Command-line program `guavapitch-standin`: runs a stand-in of the platform's key-value service or of a database target. */

import {appendFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {createRuntime, getErrorMessage} from '@guavapitch/core';
import {startDatabase} from './database.js';
import {createTarget} from './target.js';
import {DEFAULT_RATES, startPlatform} from './platform.js';

const FIRST_ARGUMENT_INDEX = 2;
const EXIT_FAILURE = 2;
const DEFAULT_SLOT_COUNT = 3;
const DEFAULT_CONNECTION_LIMIT = 80;
const DEFAULT_CONNECT_MS = 10;
const DEFAULT_LAG_MS = 5;

/** Creates a callback that appends received bytes to a file; without a file, it ignores them. */
const createByteRecorder = (file: string | undefined) => (bytes: Uint8Array) => {
	if (file !== undefined) {
		appendFileSync(file, bytes);
	}
};

const serveUntilStopped = (name: string, server: AsyncDisposable & Readonly<{port: number}>) => {
	process.stdout.write(`${name} listening on 127.0.0.1:${server.port}\n`);
	process.once('SIGTERM', () => {
		void server[Symbol.asyncDispose]();
	});
	process.once('SIGINT', () => {
		void server[Symbol.asyncDispose]();
	});
};

const commandLine = yargs(process.argv.slice(FIRST_ARGUMENT_INDEX))
	.scriptName('guavapitch-standin')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.demandCommand(1)
	.command('platform', 'stand-in of the key-value service of the platform', command => command
		.option('port', {type: 'number', default: 2379, describe: 'port on the loopback interface; 0 for any free port'})
		.option('writes', {type: 'number', default: DEFAULT_RATES.writes, describe: 'maximum rate of changes per second; changes beyond it are refused'})
		.option('reads', {type: 'number', default: DEFAULT_RATES.reads, describe: 'maximum rate of reads per second; reads beyond it are refused'}), async flags => {
		serveUntilStopped('platform', await startPlatform(createRuntime(), flags.port, {writes: flags.writes, reads: flags.reads}));
	})
	.command('database', 'stand-in of one database target', command => command
		.option('port', {type: 'number', default: 5432, describe: 'port on the loopback interface; 0 for any free port'})
		.option('name', {type: 'string', demandOption: true, describe: 'name of the target'})
		.option('follow', {type: 'string', describe: 'primary to replicate from, as host:port; without it, the target is a primary'})
		.option('slots', {type: 'number', default: DEFAULT_SLOT_COUNT, describe: 'maximum number of statements that run concurrently'})
		.option('connections', {type: 'number', default: DEFAULT_CONNECTION_LIMIT, describe: 'maximum number of open connections'})
		.option('connect-ms', {type: 'number', default: DEFAULT_CONNECT_MS, describe: 'time to open a connection, in milliseconds'})
		.option('statement-ms', {type: 'number', default: 0, describe: 'time for which a statement occupies a slot, in milliseconds'})
		.option('lag-ms', {type: 'number', default: DEFAULT_LAG_MS, describe: 'delay before received records are replayed, in milliseconds'})
		.option('record', {type: 'string', describe: 'file to append all bytes received from clients to'}), async flags => {
		const runtime = createRuntime();
		const target = createTarget({
			name: flags.name,
			isReplica: flags.follow !== undefined,
			slotCount: flags.slots,
			connectionLimit: flags.connections,
			connectMs: flags.connectMs,
			statementMs: flags.statementMs,
			lagMs: flags.lagMs,
		}, runtime, createByteRecorder(flags.record));
		if (flags.follow) {
			const [host, port] = flags.follow.split(':');
			target.setUpstream(`host=${host} port=${port}`);
			target.callFunction('pg_reload_conf', []);
		}

		serveUntilStopped(flags.name, await startDatabase(target, runtime, flags.port));
	})
	.fail((message: string, error: unknown) => {
		throw error instanceof Error ? error : new RangeError(message);
	})
	.exitProcess(false);

try {
	await commandLine.parseAsync();
} catch (error) {
	process.stderr.write(`guavapitch-standin: ${getErrorMessage(error)}\n`);
	process.exitCode = EXIT_FAILURE;
}
