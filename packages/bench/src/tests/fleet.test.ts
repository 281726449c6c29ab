/** Tests of a whole fleet: withdrawn keys, secrets that must not leak, malformed input, rolling restarts and leaving targets. */

import assert from 'node:assert/strict';
import {
	createConnection, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import type pg from 'pg';
import {readConfiguration} from '@guavapitch/configuration';
import {createRandom, wait} from '@guavapitch/load';
import {takeFirstDatabase, readExample} from '../examples.js';
import {startStack, type Stack, type StackProxy} from '../stack.js';
import {connectCustomer} from '../workload.js';

const PROPAGATION_TIMEOUT_MS = 3000;

describe('fleet', () => {
	let stack: Stack;

	const getProxies = (): readonly StackProxy[] => [...stack.proxies.values()];

	const waitFor = async (description: string, isSatisfied: () => Promise<boolean>, timeoutMs = 15_000) => {
		const deadlineMs = Date.now() + timeoutMs;
		while (!await isSatisfied()) {
			assert.ok(Date.now() < deadlineMs, `timed out waiting for ${description}`);
			await wait(20);
		}
	};

	before(async () => {
		stack = await startStack({
			inventory: takeFirstDatabase(readExample('dvorak'), {rate: 1000, burst: 2000}),
			proxiesPerDataCentre: 1,
			connectMs: 5,
			statementMs: 0,
			lagMs: 5,
			recordsTraffic: true,
		});
		const [proxy] = getProxies();
		assert.ok(proxy);
		const client = await connectCustomer(stack, proxy, 'klub-brno', 'motions');
		await client.query('CREATE TABLE lodged (id text, session text)');
		await client.end();
	});

	after(async () => {
		await stack[Symbol.asyncDispose]();
	});

	describe('keys', () => {
		it('stop working within seconds of their withdrawal, also on open connections', async () => {
			const clients = await Promise.all(getProxies().map(async proxy => connectCustomer(stack, proxy, 'klub-vyskov', 'motions')));
			const ended = Promise.all(clients.map(async client => new Promise<void>(resolve => {
				client.once('end', resolve);
			})));
			const startedAt = Date.now();
			await stack.withdrawKey('klub-vyskov-key');
			await ended;
			assert.ok(Date.now() - startedAt < PROPAGATION_TIMEOUT_MS);
			for (const proxy of getProxies()) {
				await assert.rejects(connectCustomer(stack, proxy, 'klub-vyskov', 'motions'), {code: '28P01'});
			}
		});

		it('appear in no event, metric or status, nor in anything that a database receives', async () => {
			const [proxy] = getProxies();
			assert.ok(proxy);
			const client = await connectCustomer(stack, proxy, 'klub-brno', 'motions');
			await client.query('SELECT \'seen by the database\' AS text');
			await client.end();
			const received = stack.readReceivedTraffic();
			assert.ok(received.includes('seen by the database'));
			const {document} = (await readConfiguration(stack.store)).unwrap();
			const verifiers = Object.values(document?.inventory.keys ?? {}).flatMap(key => key.verifier.split(/[$:]/v).filter(part => part.length > 10));
			assert.ok(verifiers.length > 0);
			const outputs = [JSON.stringify(stack.readEvents()), JSON.stringify(await stack.getStatuses()), received];
			for (const secretText of [...stack.secrets.values(), ...verifiers, '-key']) {
				assert.ok(outputs.every(text => !text.includes(secretText)), 'a key or a value derived from one leaked');
			}
		});
	});

	describe('malformed input', () => {
		it('on the ports for callers and peers does not disturb other callers', async () => {
			const random = createRandom(5);
			const [proxy] = getProxies();
			assert.ok(proxy);
			const waitUntilClosed = async (socket: Socket) => new Promise<void>(resolve => {
				socket.resume();
				socket.on('error', () => undefined);
				socket.on('close', () => {
					resolve();
				});
			});
			for (const port of [proxy.port, proxy.peerPort]) {
				for (let count = 0; count < 5; count++) {
					const socket = createConnection(port, '127.0.0.1');
					socket.end(Uint8Array.from({length: 64}, () => 64 + Math.floor(random() * 190)));
					await waitUntilClosed(socket);
				}
			}

			const client = await connectCustomer(stack, proxy, 'klub-brno', 'motions');
			const result = await client.query('SELECT 1 AS one');
			await client.end();
			assert.equal(result.rowCount, 1);
		});
	});

	describe('restarting proxies and removing targets', () => {
		/** Inserts rows while `state.isRunning` returns true; reconnects if the proxy closes the session between requests. */
		const insertRows = (session: string, state: Readonly<{isRunning: () => boolean}>) => {
			const done: string[] = [];
			const failures: string[] = [];
			const run = async () => {
				let client: pg.Client | undefined;
				const random = createRandom(session.length);
				for (let rowNumber = 0; state.isRunning(); rowNumber++) {
					const proxies = getProxies().filter(proxy => proxy.process.exitCode === null);
					const proxy = proxies[Math.floor(random() * proxies.length)];
					client ??= proxy ? await connectCustomer(stack, proxy, 'klub-brno', 'motions').catch(() => undefined) : undefined;
					if (!client) {
						await wait(20);
						continue;
					}

					const id = `${session}.${rowNumber}`;
					try {
						await client.query('INSERT INTO lodged VALUES ($1, $2)', [id, session]);
						done.push(id);
					} catch (error) {
						const {code, message} = error as Readonly<{code?: string; message: string}>;
						// The unmodified client refuses to send on a connection that the proxy closed between two requests.
						if (code !== '57P01' && !message.endsWith('is not queryable')) {
							failures.push(`${id}: ${code} ${message}`);
						}

						client = undefined;
					}

					await wait(10);
				}

				await client?.end().catch(() => undefined);
			};

			return {done, failures, finished: run()};
		};

		it('replaces every proxy under load without cutting a request', async () => {
			let isLoadRunning = true;
			const sessions = Array.from({length: 6}, (_, index) => insertRows(`roll${index}`, {isRunning: () => isLoadRunning}));
			await wait(300);
			for (const proxy of getProxies()) {
				proxy.process.kill('SIGTERM');
				await proxy.exited;
				assert.equal(proxy.process.exitCode, 0);
				await stack.startProxy(proxy.vm, proxy.dataCentre);
				await stack.waitUntilReady();
			}

			isLoadRunning = false;
			await Promise.all(sessions.map(async session => session.finished));
			assert.deepEqual(sessions.flatMap(session => session.failures), []);
			const [proxy] = getProxies();
			assert.ok(proxy);
			const client = await connectCustomer(stack, proxy, 'klub-brno', 'motions');
			const result = await client.query<{id: string}>('SELECT id FROM lodged');
			await client.end();
			const ids = new Set(result.rows.map(row => row.id));
			assert.equal(ids.size, result.rows.length, 'a write was applied twice');
			assert.deepEqual(sessions.flatMap(session => session.done).filter(id => !ids.has(id)), []);
		});

		it('gives a leaving target no new requests and moves the primary to another target', async () => {
			const [database] = Object.keys(stack.inventory.databases);
			const findPrimary = async () => {
				const views = (await stack.getStatuses()).flatMap(status => status.groups).toSorted((a, b) => b.revision - a.revision);
				return views[0]?.record.primary ?? '';
			};

			const leavingTarget = await findPrimary();
			let isLoadRunning = true;
			const loadSessions = Array.from({length: 6}, (_, index) => insertRows(`planned${index}`, {isRunning: () => isLoadRunning}));
			await wait(300);
			await stack.changeConfiguration(inventory => ({
				...inventory,
				databases: Object.fromEntries(Object.entries(inventory.databases).map(([name, settings]) => [name, name === database
					? {
						...settings, targets: settings.targets.map(target => target.name === leavingTarget ? {...target, leaving: true} : target),
					}
					: settings])),
			}));
			await waitFor('another primary', async () => await findPrimary() !== leavingTarget, PROPAGATION_TIMEOUT_MS);
			await wait(300);
			isLoadRunning = false;
			await Promise.all(loadSessions.map(async loadSession => loadSession.finished));
			assert.deepEqual(loadSessions.flatMap(loadSession => loadSession.failures), [], 'requests failed during a planned change of primary');
			let isSessionRunning = true;
			const session = insertRows('leaving', {isRunning: () => isSessionRunning});
			await wait(1000);
			isSessionRunning = false;
			await session.finished;
			assert.deepEqual(session.failures, []);
			assert.ok(session.done.length > 10);
		});
	});
});
