#!/usr/bin/env node
/** Program `guavapitch-timeline`. */

import {
	readdirSync, readFileSync, statSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {getMessage} from '@guavapitch/core';
import {filterEvents, mergeEvents, parseEvents} from './merge.js';
import {drawTimeline} from './picture.js';
import {formatEvent} from './text.js';

const SKIP_NODE_AND_SCRIPT = 2;
const EXIT_MALFORMED = 1;
const EXIT_SETTING = 2;

const stop = (message: string, code: number) => {
	process.stderr.write(`guavapitch-timeline: ${message}\n`);
	process.exitCode = code;
};

const listFiles = (place: string): readonly string[] => statSync(place).isDirectory()
	? readdirSync(place).map(file => path.join(place, file))
	: [place];

await yargs(process.argv.slice(SKIP_NODE_AND_SCRIPT))
	.scriptName('guavapitch-timeline')
	.usage('$0 <files..>\n\nExit codes: 0 done, 1 a line cannot be read, 2 a setting is wrong.')
	.env('GUAVAPITCH')
	.strict()
	.version('0.1.0')
	.command('$0 <files..>', 'merge the events of files or folders', command => command
		.positional('files', {
			type: 'string', array: true, demandOption: true, describe: 'log files, or folders of them',
		})
		.option('format', {choices: ['text', 'json', 'svg'] as const, default: 'text' as const, describe: 'form of the time line'})
		.option('output', {type: 'string', describe: 'file to write; standard output if absent'})
		.option('customer', {type: 'string', describe: 'only events of a customer'})
		.option('database', {type: 'string', describe: 'only events of a database'})
		.option('request', {type: 'string', describe: 'only events of a request'})
		.option('term', {type: 'number', describe: 'only events of a term'})
		.option('vm', {type: 'string', describe: 'only events of a vm'})
		.option('id', {type: 'number', array: true, describe: 'only events of these numbers'}), flags => {
		const lists = flags.files.flatMap(place => listFiles(place)).map(file => parseEvents(readFileSync(file, 'utf8')));
		const malformed = lists.find(list => list.err);
		if (malformed?.err) {
			stop(malformed.val.message, EXIT_MALFORMED);
			return;
		}

		const merged = mergeEvents(lists.map(list => list.unwrap()));
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
