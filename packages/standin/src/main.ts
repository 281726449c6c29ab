#!/usr/bin/env node
/** Program `guavapitch-standin`. */

import {appendFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {createWorld} from '@guavapitch/core';
import {startDatabase} from './database.js';
import {createTarget} from './target.js';
import {DEFAULT_RATES, startPlatform} from './platform.js';

const SKIP_NODE_AND_SCRIPT = 2;
const EXIT_SETTING = 2;
const DEFAULT_SLOTS = 3;
const DEFAULT_CONNECTIONS = 80;
const DEFAULT_CONNECT_MS = 10;
const DEFAULT_LAG_MS = 5;

/** Creates what hears of received bytes; without a file they are dropped. */
const createRecorder = (file: string | undefined) => (bytes: Uint8Array) => {
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

await yargs(process.argv.slice(SKIP_NODE_AND_SCRIPT))
	.scriptName('guavapitch-standin')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.demandCommand(1)
	.command('platform', 'stand-in of the key-value service of the platform', command => command
		.option('port', {type: 'number', default: 2379, describe: 'port on loopback; 0 for any'})
		.option('writes', {type: 'number', default: DEFAULT_RATES.writes, describe: 'changes taken per second; more are refused'})
		.option('reads', {type: 'number', default: DEFAULT_RATES.reads, describe: 'reads taken per second; more are refused'}), async flags => {
		serveUntilStopped('platform', await startPlatform(createWorld(), flags.port, {writes: flags.writes, reads: flags.reads}));
	})
	.command('database', 'stand-in of one target of a database', command => command
		.option('port', {type: 'number', default: 5432, describe: 'port on loopback; 0 for any'})
		.option('name', {type: 'string', demandOption: true, describe: 'name of the target'})
		.option('follow', {type: 'string', describe: 'primary to follow, host:port; the target leads if absent'})
		.option('slots', {type: 'number', default: DEFAULT_SLOTS, describe: 'statements that run at a time'})
		.option('connections', {type: 'number', default: DEFAULT_CONNECTIONS, describe: 'connections accepted at a time'})
		.option('connect-ms', {type: 'number', default: DEFAULT_CONNECT_MS, describe: 'time to open a connection, in milliseconds'})
		.option('statement-ms', {type: 'number', default: 0, describe: 'time a statement occupies a slot, in milliseconds'})
		.option('lag-ms', {type: 'number', default: DEFAULT_LAG_MS, describe: 'delay of replay, in milliseconds'})
		.option('record', {type: 'string', describe: 'file for every byte received from clients'}), async flags => {
		const world = createWorld();
		const target = createTarget({
			name: flags.name,
			replica: flags.follow !== undefined,
			slots: flags.slots,
			connectionLimit: flags.connections,
			connectMs: flags.connectMs,
			statementMs: flags.statementMs,
			lagMs: flags.lagMs,
		}, world, createRecorder(flags.record));
		if (flags.follow) {
			const [host, port] = flags.follow.split(':');
			target.setUpstream(`host=${host} port=${port}`);
			target.callFunction('pg_reload_conf', []);
		}

		serveUntilStopped(flags.name, await startDatabase(target, world, flags.port));
	})
	.fail((message: string, error: unknown) => {
		process.stderr.write(`guavapitch-standin: ${error instanceof Error ? error.message : message}\n`);
		process.exitCode = EXIT_SETTING;
	})
	.exitProcess(false)
	.parse();
