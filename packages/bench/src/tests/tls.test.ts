/** TLS towards callers and mutual TLS between peers. */

import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	after, before, describe, it,
} from 'node:test';
import {createWorld} from '@guavapitch/core';
import {openFleetClient} from '@guavapitch/operator';
import {takeFirstDatabase, readExample} from '../examples.js';
import {startStack, type Stack} from '../stack.js';
import {connectToProxy, runProgram} from './helpers.js';

const FOLDER = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..', 'fixtures');
const getFile = (name: string): string => path.join(FOLDER, `${name}.pem`);
const readPem = (name: string): string => readFileSync(getFile(name), 'utf8');

describe('TLS', () => {
	let stack: Stack;

	const connect = async (options: Readonly<Record<string, unknown>>) => connectToProxy(stack, 0, options);

	before(async () => {
		const files = ['--tls-cert', getFile('cert'), '--tls-key', getFile('key')];
		const peerFiles = ['--peer-tls-cert', getFile('cert'), '--peer-tls-key', getFile('key'), '--peer-tls-ca', getFile('ca')];
		stack = await startStack({
			inventory: takeFirstDatabase(readExample('dvorak')),
			proxiesPerDataCentre: 1,
			connectMs: 2,
			statementMs: 0,
			lagMs: 2,
			extraProxyFlags: [...files, ...peerFiles],
			peerTls: {cert: readPem('cert'), key: readPem('key'), ca: readPem('ca')},
		});
	});

	after(async () => {
		await stack[Symbol.asyncDispose]();
	});

	describe('callers', () => {
		it('are served over TLS, with SCRAM and with a password', async () => {
			for (const options of [{}, {options: '-c guavapitch.auth=password'}]) {
				const client = await connect({...options, ssl: {ca: readPem('ca'), checkServerIdentity: () => undefined}});
				const found = await client.query('SELECT 1 AS one');
				await client.end();
				assert.equal(found.rowCount, 1);
			}
		});

		it('are never asked for a plain password without TLS', async () => {
			const client = await connect({options: '-c guavapitch.auth=password'});
			const found = await client.query('SELECT 1 AS one');
			await client.end();
			assert.equal(found.rowCount, 1);
		});

		it('are refused a wrong password over TLS', async () => {
			await assert.rejects(connect({ssl: {ca: readPem('ca'), checkServerIdentity: () => undefined}, options: '-c guavapitch.auth=password', password: 'wrong'}), {code: '28P01'});
		});
	});

	describe('operators', () => {
		const runStatus = async (flags: readonly string[]): Promise<string> => {
			const {stdout, stderr} = await runProgram('operator', ['status', '--platform', `127.0.0.1:${stack.platformPort}`, ...flags]);
			return stdout + stderr;
		};

		it('ask with the keys of a peer, and get no answer without', async () => {
			const files = ['--peer-tls-cert', getFile('cert'), '--peer-tls-key', getFile('key'), '--peer-tls-ca', getFile('ca')];
			const answered = await runStatus(files);
			assert.match(answered, /motions {2}term 1/v);
			assert.ok(!answered.includes('no answer'));
			assert.match(await runStatus([]), /no answer/v);
		});

		it('are told which files are missing', async () => {
			assert.match(await runStatus(['--peer-tls-cert', getFile('cert')]), /go together/v);
		});
	});

	describe('peers', () => {
		it('without a certificate are not served', async () => {
			const [proxy] = stack.proxies.values();
			await using stranger = openFleetClient(createWorld());
			const status = await stranger.call({host: '127.0.0.1', port: proxy?.peerPort ?? 0}, 'status', null);
			assert.ok(status.err);
		});
	});
});
