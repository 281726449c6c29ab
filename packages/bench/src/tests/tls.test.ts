/** TLS for callers, and mutual TLS between peers and for operators. */

import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	after, before, describe, it,
} from 'node:test';
import {createRuntime} from '@guavapitch/core';
import {openFleetClient} from '@guavapitch/operator';
import {takeFirstDatabase, readExample} from '../examples.js';
import {startStack, type Stack} from '../stack.js';
import {connectToProxy, runProgram} from './helpers.js';

const FIXTURES_FOLDER = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..', 'fixtures');
const getPemPath = (name: string): string => path.join(FIXTURES_FOLDER, `${name}.pem`);
const readPem = (name: string): string => readFileSync(getPemPath(name), 'utf8');

describe('TLS', () => {
	let stack: Stack;

	const connect = async (options: Readonly<Record<string, unknown>>) => connectToProxy(stack, 0, options);

	before(async () => {
		const callerTlsFlags = ['--tls-cert', getPemPath('cert'), '--tls-key', getPemPath('key')];
		const peerTlsFlags = ['--peer-tls-cert', getPemPath('cert'), '--peer-tls-key', getPemPath('key'), '--peer-tls-ca', getPemPath('ca')];
		stack = await startStack({
			inventory: takeFirstDatabase(readExample('dvorak')),
			proxiesPerDataCentre: 1,
			connectMs: 2,
			statementMs: 0,
			lagMs: 2,
			extraProxyFlags: [...callerTlsFlags, ...peerTlsFlags],
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
				const result = await client.query('SELECT 1 AS one');
				await client.end();
				assert.equal(result.rowCount, 1);
			}
		});

		it('are never asked for a cleartext password without TLS', async () => {
			const client = await connect({options: '-c guavapitch.auth=password'});
			const result = await client.query('SELECT 1 AS one');
			await client.end();
			assert.equal(result.rowCount, 1);
		});

		it('are refused with a wrong password over TLS', async () => {
			await assert.rejects(connect({ssl: {ca: readPem('ca'), checkServerIdentity: () => undefined}, options: '-c guavapitch.auth=password', password: 'wrong'}), {code: '28P01'});
		});
	});

	describe('operators', () => {
		const runStatus = async (flags: readonly string[]): Promise<string> => {
			const {stdout, stderr} = await runProgram('operator', ['status', '--platform', `127.0.0.1:${stack.platformPort}`, ...flags]);
			return stdout + stderr;
		};

		it('get a status with the TLS files of a peer, and no response without them', async () => {
			const peerTlsFlags = ['--peer-tls-cert', getPemPath('cert'), '--peer-tls-key', getPemPath('key'), '--peer-tls-ca', getPemPath('ca')];
			const output = await runStatus(peerTlsFlags);
			assert.match(output, /motions {2}term 1/v);
			assert.ok(!output.includes('no answer'));
			assert.match(await runStatus([]), /no answer/v);
		});

		it('are told which files are missing', async () => {
			assert.match(await runStatus(['--peer-tls-cert', getPemPath('cert')]), /go together/v);
		});
	});

	describe('peers', () => {
		it('without a certificate are not served', async () => {
			const [proxy] = stack.proxies.values();
			await using client = openFleetClient(createRuntime());
			const status = await client.call({host: '127.0.0.1', port: proxy?.peerPort ?? 0}, 'status', null);
			assert.ok(status.err);
		});
	});
});
