#!/usr/bin/env node
/** Command-line program `guavapitch-timeline`: merges the events of log files or running proxies into one time line. */

import {
	readdirSync, readFileSync, statSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {
	createRuntime, Err, getErrorMessage, Ok, type Result,
} from '@guavapitch/core';
import {requestEvents, openFleetClient, type VmListFailure} from '@guavapitch/operator';
import {readPeerTls, type TlsFiles} from '@guavapitch/peer-protocol';
import {openEtcdStore} from '@guavapitch/store';
import {formatEvent, type EventRecord} from '@guavapitch/telemetry';
import {
	filterEvents, mergeEvents, parseEvents, type TimelineFailure,
} from './merge.js';
import {drawTimeline} from './svg.js';

const FIRST_ARGUMENT_INDEX = 2;
const EXIT_MALFORMED = 1;
const EXIT_SETTING = 2;
const EXIT_UNREACHABLE = 3;
const STORE_TIMEOUT_MS = 2000;

const fail = (message: string, code: number) => {
	process.stderr.write(`guavapitch-timeline: ${message}\n`);
	process.exitCode = code;
};

const listLogFiles = (fileOrFolder: string): readonly string[] => statSync(fileOrFolder).isDirectory()
	? readdirSync(fileOrFolder).map(file => path.join(fileOrFolder, file))
	: [fileOrFolder];

type EventLists = ReadonlyArray<readonly EventRecord[]>;

const readFiles = (files: readonly string[]): Result<EventLists, TimelineFailure> => {
	const parsedFiles = files.flatMap(fileOrFolder => listLogFiles(fileOrFolder)).map(file => parseEvents(readFileSync(file, 'utf8')));
	const malformed = parsedFiles.find(list => list.err);
	return malformed?.err ? Err(malformed.val) : Ok(parsedFiles.map(list => list.unwrap()));
};

/** Requests the events of the running proxies; reports on standard error which proxies did not respond, since their events are missing. */
const requestFleetEvents = async (platform: string, files: TlsFiles): Promise<Result<EventLists, VmListFailure>> => {
	const runtime = createRuntime();
	await using store = openEtcdStore({address: platform, callTimeoutMs: STORE_TIMEOUT_MS}, runtime);
	await using client = openFleetClient(runtime, readPeerTls(files).unwrap());
	const requested = await requestEvents(store, client);
	if (requested.err) {
		return requested;
	}

	const {eventLists, unresponsiveVms} = requested.val;
	if (unresponsiveVms.length > 0) {
		process.stderr.write(`guavapitch-timeline: no answer from ${unresponsiveVms.join(', ')}; the time line lacks their events\n`);
	}

	return Ok(eventLists);
};

const commandLine = yargs(process.argv.slice(FIRST_ARGUMENT_INDEX))
	.scriptName('guavapitch-timeline')
	.usage('$0 [files..]\n\nExit codes: 0 done, 1 a line cannot be parsed, 2 a setting is invalid, 3 the vms cannot be listed.')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.command('$0 [files..]', 'merge the events of files, folders or the running proxies', command => command
		.positional('files', {
			type: 'string', array: true, default: [], describe: 'log files, or folders of them',
		})
		.option('platform', {type: 'string', describe: 'address of the platform\'s key-value service, host:port, to request the events of the running proxies'})
		.option('peer-tls-cert', {type: 'string', describe: 'client certificate for connections to the proxies, PEM file'})
		.option('peer-tls-key', {type: 'string', describe: 'private key of the client certificate, PEM file'})
		.option('peer-tls-ca', {type: 'string', describe: 'certificate authority of the proxies, PEM file'})
		.option('format', {choices: ['text', 'json', 'svg'] as const, default: 'text' as const, describe: 'output format of the time line'})
		.option('output', {type: 'string', describe: 'file to write; standard output if absent'})
		.option('customer', {type: 'string', describe: 'only events of a customer'})
		.option('database', {type: 'string', describe: 'only events of a database'})
		.option('request', {type: 'string', describe: 'only events of a request'})
		.option('term', {type: 'number', describe: 'only events of a term'})
		.option('vm', {type: 'string', describe: 'only events of a vm'})
		.option('id', {type: 'number', array: true, describe: 'only events of these numbers'}), async flags => {
		if (flags.files.length === 0 && flags.platform === undefined) {
			fail('give log files, or --platform to request the events of the running proxies', EXIT_SETTING);
			return;
		}

		const fileEvents = readFiles(flags.files);
		if (fileEvents.err) {
			fail(fileEvents.val.message, EXIT_MALFORMED);
			return;
		}

		const tlsFiles: TlsFiles = {cert: flags.peerTlsCert, key: flags.peerTlsKey, ca: flags.peerTlsCa};
		const fleetEvents: Result<EventLists, VmListFailure> = flags.platform === undefined ? Ok([]) : await requestFleetEvents(flags.platform, tlsFiles);
		if (fleetEvents.err) {
			fail(`the vms cannot be listed: ${fleetEvents.val.message}`, EXIT_UNREACHABLE);
			return;
		}

		const merged = mergeEvents([...fileEvents.val, ...fleetEvents.val]);
		const events = filterEvents(merged, {
			customer: flags.customer, database: flags.database, request: flags.request, term: flags.term, vm: flags.vm, ids: flags.id,
		});
		const formatters = {
			text: () => events.map(event => `${formatEvent(event)}\n`).join(''),
			json: () => `${JSON.stringify(events, null, 2)}\n`,
			svg: () => drawTimeline(events),
		};
		const text = formatters[flags.format]();
		if (flags.output) {
			writeFileSync(flags.output, text);
		} else {
			process.stdout.write(text);
		}
	})
	.fail((message: string, error: unknown) => {
		throw error instanceof Error ? error : new RangeError(message);
	})
	.exitProcess(false);

try {
	await commandLine.parseAsync();
} catch (error) {
	fail(getErrorMessage(error), EXIT_SETTING);
}
