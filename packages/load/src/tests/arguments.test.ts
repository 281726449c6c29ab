/** Arguments of `guavapitch-load`. */

import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {mergeFlagValues} from '../arguments.js';

const PROGRAM = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', 'main.js');

/** Runs the program against a port at which nothing listens; returns what it writes to standard error. */
const runWithoutProxy = async (secretArguments: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<string> => new Promise(resolve => {
	const programArguments = [PROGRAM, 'run', '--target', '127.0.0.1:1', '--key', 'klub', ...secretArguments, '--service', 'motions', '--duration-ms', '10'];
	execFile(process.execPath, programArguments, {env: {...process.env, ...environment}}, (_error, _stdout, stderr) => {
		resolve(stderr);
	});
});

describe('arguments of the load program', () => {
	it('keep a secret that begins with a hyphen, and everything around it', () => {
		assert.deepEqual(mergeFlagValues(['run', '--secret', '-gx', '--service', 's']), ['run', '--secret=-gx', '--service', 's']);
		assert.deepEqual(mergeFlagValues(['--secret', '--secret', '--seed', '2']), ['--secret=--secret', '--seed', '2']);
		assert.deepEqual(mergeFlagValues(['--secret=-gx', '--secret']), ['--secret=-gx', '--secret']);
	});

	for (const [name, secretArguments, environment] of [
		['as an argument', ['--secret', '-gx3-7'], {}],
		['in the environment', [], {GUAVAPITCH_SECRET: '-gx3-7'}],
	] as const) {
		it(`are accepted with a secret that begins with a hyphen, given ${name}`, async () => {
			const output = await runWithoutProxy(secretArguments, environment);
			assert.doesNotMatch(output, /Unknown argument/v);
			assert.match(output, /ECONNREFUSED/v);
		});
	}

	it('end the program without a connection if one is unknown', async () => {
		const output = await runWithoutProxy(['--bogus', '1']);
		assert.equal(output, 'guavapitch-load: Unknown argument: bogus\n');
	});
});
