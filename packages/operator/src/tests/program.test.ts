/** Exit codes of `guavapitch-operator` for input that it cannot use. */

import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const PROGRAM = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', 'main.js');

const run = async (...words: readonly string[]) => new Promise<Readonly<{exitCode: unknown; stderr: string}>>(resolve => {
	execFile(process.execPath, [PROGRAM, ...words], (error, _stdout, stderr) => {
		resolve({exitCode: error?.code ?? 0, stderr});
	});
});

describe('the operator\'s program', () => {
	it('reports a missing file in one line and exits with 2', async () => {
		const {exitCode, stderr} = await run('check', 'missing.yaml');
		assert.equal(exitCode, 2);
		assert.match(stderr, /^guavapitch-operator: ENOENT[^\n]+\n$/v);
	});

	it('does nothing if a flag is unknown, and exits with 2', async () => {
		const {exitCode, stderr} = await run('check', 'missing.yaml', '--bogus');
		assert.equal(exitCode, 2);
		assert.match(stderr, /^guavapitch-operator: Unknown argument: bogus\n$/v);
	});
});
