/** End-to-end tests with separate processes: an unmodified client, the entry, the database owner and a target. */

import assert from 'node:assert/strict';
import {createConnection} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {wait} from '@guavapitch/load';
import {requestEvents, describeRequest} from '@guavapitch/operator';
import {createCancelRequest} from '@guavapitch/postgres-wire';
import {readExample} from '../examples.js';
import {startStack, type Stack} from '../stack.js';
import {connectToProxy, readResidentBytes, runProgram} from './helpers.js';

describe('end to end', () => {
	let stack: Stack;

	const connect = async (proxyIndex: number, options: Readonly<Record<string, unknown>> = {}) => connectToProxy(stack, proxyIndex, options);

	before(async () => {
		stack = await startStack({
			inventory: readExample('dvorak'), proxiesPerDataCentre: 1, connectMs: 2, statementMs: 0, lagMs: 2,
		});
		const client = await connect(0);
		await client.query('CREATE TABLE motions (id int PRIMARY KEY, wording text)');
		await client.end();
	});

	after(async () => {
		await stack[Symbol.asyncDispose]();
	});

	describe('statements', () => {
		it('serves simple, extended and named statements', async () => {
			const client = await connect(0);
			const insertResult = await client.query('INSERT INTO motions VALUES ($1, $2) RETURNING id', [1, 'This house']);
			const namedStatement = {name: 'find', text: 'SELECT wording FROM motions WHERE id = $1', values: [1]};
			const firstResult = await client.query<{wording: string}>(namedStatement);
			const secondResult = await client.query<{wording: string}>(namedStatement);
			const simpleResult = await client.query('SELECT * FROM motions');
			await client.end();
			assert.deepEqual(insertResult.rows, [{id: 1}]);
			assert.deepEqual(firstResult.rows, [{wording: 'This house'}]);
			assert.deepEqual(secondResult.rows, firstResult.rows);
			assert.equal(simpleResult.rowCount, 1);
		});

		it('rolls a transaction back as a whole', async () => {
			const client = await connect(1);
			await client.query('BEGIN');
			await client.query('INSERT INTO motions VALUES (2, \'never\')');
			await client.query('ROLLBACK');
			const result = await client.query('SELECT * FROM motions WHERE id = 2');
			await client.end();
			assert.equal(result.rowCount, 0);
		});

		it('streams a large result completely', async () => {
			const client = await connect(2);
			const result = await client.query<{generate_series: number}>('SELECT * FROM generate_series(1, 50000)');
			await client.end();
			assert.equal(result.rowCount, 50_000);
			assert.equal(result.rows.at(-1)?.generate_series, 50_000);
		});
	});

	describe('slow callers', () => {
		const ROW_COUNT = 96;
		const ROW_BYTES = 1024 * 1024;

		it('do not fill the memory of the proxies, do not delay other callers, and receive their complete result', async () => {
			const client = await connect(0);
			const otherClient = await connect(0);
			const pids = [...stack.proxies.values()].map(proxy => proxy.process.pid ?? 0);
			const residentBytesBefore = pids.map(pid => readResidentBytes(pid));
			const {stream} = (client as unknown as Readonly<{connection: Readonly<{stream: Readonly<{pause: () => void; resume: () => void}>}>}>).connection;
			const response = client.query<{body: string}>(`SELECT repeat('x', ${ROW_BYTES}) AS body FROM generate_series(1, ${ROW_COUNT})`);
			await wait(20);
			stream.pause();
			await wait(1500);
			const residentBytesAfter = pids.map(pid => readResidentBytes(pid));
			const result = await otherClient.query('SELECT 1 AS one');
			assert.equal(result.rowCount, 1);
			stream.resume();
			const {rows} = await response;
			assert.equal(rows.reduce((sum, row) => sum + row.body.length, 0), ROW_COUNT * ROW_BYTES);
			await Promise.all([client.end(), otherClient.end()]);
			for (const [index, bytes] of residentBytesAfter.entries()) {
				const growth = bytes - (residentBytesBefore[index] ?? 0);
				assert.ok(growth < ROW_COUNT * ROW_BYTES / 2, `the resident memory of a proxy grew by ${growth} bytes`);
			}
		});
	});

	describe('sessions', () => {
		it('read their own writes through every proxy', async () => {
			const clients = await Promise.all([0, 1, 2, 3].map(async proxyIndex => connect(proxyIndex)));
			for (let id = 100; id < 130; id++) {
				await clients[0]?.query('INSERT INTO motions VALUES ($1, $2)', [id, 'own']);
				for (const client of clients) {
					const result = await client.query('SELECT * FROM motions WHERE id = $1', [id]);
					assert.equal(result.rowCount, 1);
				}
			}

			await Promise.all(clients.map(async client => client.end()));
		});
	});

	describe('refusals', () => {
		it('refuses a wrong key with 28P01', async () => {
			await assert.rejects(connect(0, {password: 'wrong'}), {code: '28P01'});
		});

		it('refuses an unknown service with 3D000', async () => {
			await assert.rejects(connect(0, {database: 'nowhere'}), {code: '3D000'});
		});

		it('refuses COPY and session settings as not run', async () => {
			const client = await connect(0);
			await assert.rejects(client.query('COPY motions FROM STDIN'), {code: '0A000', message: /^not run/v});
			await assert.rejects(client.query('SET work_mem = 1'), {code: '0A000', message: /^not run/v});
			const result = await client.query('SELECT 1 AS one');
			await client.end();
			assert.equal(result.rowCount, 1);
		});
	});

	describe('guavapitch-load', () => {
		it('completes against several proxies and prints its results', async () => {
			const targets = [...stack.proxies.values()].flatMap(({port}) => ['--target', `127.0.0.1:${port}`]);
			const login = ['--key', 'klub-brno-key', '--secret', stack.secrets.get('klub-brno') ?? '', '--service', 'motions'];
			const {stdout, exitCode} = await runProgram('load', ['run', ...targets, ...login, '--per-second', '50', '--duration-ms', '1000']);
			assert.equal(exitCode, 0);
			assert.match(stdout, /refused 0 {2}failed 0/v);
		});
	});

	describe('event queries', () => {
		it('explain a refused request by the request identifier in its error, from the events of the running proxies', async () => {
			const client = await connect(1);
			const error = await client.query('LISTEN news').then(() => undefined, (error_: unknown) => error_ as Readonly<{detail?: string}>);
			await client.end();
			const request = /request=(?<id>[\w\-]+)/v.exec(error?.detail ?? '')?.groups?.id ?? '';
			const {eventLists, unresponsiveVms} = (await requestEvents(stack.store, stack.fleet, {request})).unwrap();
			const [event, ...otherEvents] = eventLists.flat();
			assert.ok(event);
			assert.deepEqual([otherEvents, unresponsiveVms], [[], []]);
			assert.match(describeRequest(event), /request of klub-brno for motions was refused and has not run \(unsupported: /v);
		});
	});

	describe('cancel', () => {
		it('cancels a running statement through a database owner on another vm', async () => {
			const client = await connect(0);
			const cancelledStatement = assert.rejects(client.query('SELECT pg_sleep(20)'), {code: '57014'});
			await new Promise(resolve => {
				setTimeout(resolve, 300);
			});
			const {processID, secretKey} = client as unknown as Readonly<{processID: number; secretKey: number}>;
			const socket = createConnection([...stack.proxies.values()][0]?.port ?? 0, '127.0.0.1');
			socket.end(createCancelRequest(processID, secretKey));
			await cancelledStatement;
			await client.end();
		});
	});
});
