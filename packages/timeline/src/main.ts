#!/usr/bin/env node
/** Program `guavapitch-timeline`. */

import {
	readdirSync, readFileSync, statSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {
	createWorld, Err, getMessage, Ok, type Result,
} from '@guavapitch/core';
import {requestEvents, openFleetClient} from '@guavapitch/operator';
import {readPeerTls, type TlsFiles} from '@guavapitch/peer-protocol';
import {openEtcdStore} from '@guavapitch/store';
import {formatEvent, type EventRecord} from '@guavapitch/telemetry';
import {
	filterEvents, mergeEvents, parseEvents, type TimelineFailure,
} from './merge.js';
import {drawTimeline} from './svg.js';

const SKIP_NODE_AND_SCRIPT = 2;
const EXIT_MALFORMED = 1;
const EXIT_SETTING = 2;
const STORE_TIMEOUT_MS = 2000;

const stop = (message: string, code: number) => {
	process.stderr.write(`guavapitch-timeline: ${message}\n`);
	process.exitCode = code;
};

const listFiles = (place: string): readonly string[] => statSync(place).isDirectory()
	? readdirSync(place).map(file => path.join(place, file))
	: [place];

type Lists = ReadonlyArray<readonly EventRecord[]>;

const readFiles = (files: readonly string[]): Result<Lists, TimelineFailure> => {
	const lists = files.flatMap(place => listFiles(place)).map(file => parseEvents(readFileSync(file, 'utf8')));
	const malformed = lists.find(list => list.err);
	return malformed?.err ? Err(malformed.val) : Ok(lists.map(list => list.unwrap()));
};

/** Asks the running proxies; names those that did not answer, as their events are missing. */
const askFleet = async (platform: string, files: TlsFiles): Promise<Lists> => {
	const world = createWorld();
	await using store = openEtcdStore({address: platform, callTimeoutMs: STORE_TIMEOUT_MS}, world);
	await using client = openFleetClient(world, readPeerTls(files).unwrap());
	const {lists, missing} = await requestEvents(store, client);
	if (missing.length > 0) {
		process.stderr.write(`guavapitch-timeline: no answer from ${missing.join(', ')}; their events are missing\n`);
	}

	return lists;
};

await yargs(process.argv.slice(SKIP_NODE_AND_SCRIPT))
	.scriptName('guavapitch-timeline')
	.usage('$0 [files..]\n\nExit codes: 0 done, 1 a line cannot be read, 2 a setting is wrong.')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.command('$0 [files..]', 'merge the events of files, folders or the running proxies', command => command
		.positional('files', {
			type: 'string', array: true, default: [], describe: 'log files, or folders of them',
		})
		.option('platform', {type: 'string', describe: 'address of the key-value service, host:port, to ask the running proxies'})
		.option('peer-tls-cert', {type: 'string', describe: 'certificate towards the proxies, PEM file'})
		.option('peer-tls-key', {type: 'string', describe: 'key towards the proxies, PEM file'})
		.option('peer-tls-ca', {type: 'string', describe: 'authority of the certificates of the proxies, PEM file'})
		.option('format', {choices: ['text', 'json', 'svg'] as const, default: 'text' as const, describe: 'form of the time line'})
		.option('output', {type: 'string', describe: 'file to write; standard output if absent'})
		.option('customer', {type: 'string', describe: 'only events of a customer'})
		.option('database', {type: 'string', describe: 'only events of a database'})
		.option('request', {type: 'string', describe: 'only events of a request'})
		.option('term', {type: 'number', describe: 'only events of a term'})
		.option('vm', {type: 'string', describe: 'only events of a vm'})
		.option('id', {type: 'number', array: true, describe: 'only events of these numbers'}), async flags => {
		if (flags.files.length === 0 && flags.platform === undefined) {
			stop('give files, or --platform to ask the running proxies', EXIT_SETTING);
			return;
		}

		const read = readFiles(flags.files);
		if (read.err) {
			stop(read.val.message, EXIT_MALFORMED);
			return;
		}

		const asked = flags.platform === undefined ? [] : await askFleet(flags.platform, {cert: flags.peerTlsCert, key: flags.peerTlsKey, ca: flags.peerTlsCa});
		const merged = mergeEvents([...read.val, ...asked]);
		const events = filterEvents(merged, {
			customer: flags.customer, database: flags.database, request: flags.request, term: flags.term, vm: flags.vm, ids: flags.id,
		});
		const texts = {
			text: () => events.map(event => `${formatEvent(event)}\n`).join(''),
			json: () => `${JSON.stringify(events, null, 2)}\n`,
			svg: () => drawTimeline(events),
		};
		const text = texts[flags.format]();
		if (flags.output) {
			writeFileSync(flags.output, text);
		} else {
			process.stdout.write(text);
		}
	})
	.fail((message: string, error: unknown) => {
		stop(message ?? getMessage(error), EXIT_SETTING);
	})
	.exitProcess(false)
	.parse();
