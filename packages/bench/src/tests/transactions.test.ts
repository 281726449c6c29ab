/** Transactions whose caller, entry or home dies, or that idle: nothing is half applied, and nothing is left behind. */

import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import type pg from 'pg';
import {wait} from '@guavapitch/load';
import {takeFirstDatabase, readExample} from '../examples.js';
import {findPrimary} from '../faults.js';
import {startStack, type Stack, type StackProxy} from '../stack.js';
import {connectToProxy} from './helpers.js';

const IDLE_MS = 600;
const SUM = 200;

describe('transactions', () => {
	let stack: Stack;

	const getProxies = (): readonly StackProxy[] => [...stack.proxies.values()];

	/** Begins to move 50 from the first account to the second. */
	const beginTransfer = async (client: pg.Client) => {
		await client.query('BEGIN');
		await client.query('UPDATE accounts SET balance = balance - 50 WHERE id = 1');
	};

	/** Moves 1 there and back, which needs the locks of both accounts, and checks that the sum is whole. */
	const checkWhole = async () => {
		const client = await connectToProxy(stack, 2);
		for (const by of [1, -1]) {
			await client.query('BEGIN');
			await client.query('UPDATE accounts SET balance = balance - $1 WHERE id = 1', [by]);
			await client.query('UPDATE accounts SET balance = balance + $1 WHERE id = 2', [by]);
			await client.query('COMMIT');
		}

		const found = await client.query<{balance: number}>('SELECT balance FROM accounts ORDER BY id');
		await client.end();
		assert.deepEqual(found.rows.map(row => row.balance), [SUM / 2, SUM / 2]);
	};

	/** Finds the homes of the primary. */
	const findHomes = async (): Promise<readonly string[]> => {
		const [database] = Object.keys(stack.inventory.databases);
		const primary = await findPrimary(stack, database ?? '');
		const statuses = await stack.getStatuses();
		return statuses.filter(status => status.homes.some(home => home.target === primary && home.busy + home.open > 0)).map(status => status.vm);
	};

	const killAndReplace = async (proxy: StackProxy) => {
		proxy.process.kill('SIGKILL');
		await proxy.exited;
		await stack.startProxy(proxy.vm, proxy.dataCentre);
	};

	before(async () => {
		const inventory = takeFirstDatabase(readExample('dvorak'), {rate: 1000, burst: 2000});
		const services = Object.fromEntries(Object.entries(inventory.services).map(([name, service]) => [name, {...service, idleTransactionMs: IDLE_MS}]));
		stack = await startStack({
			inventory: {...inventory, services}, proxiesPerDataCentre: 1, connectMs: 2, statementMs: 0, lagMs: 5,
		});
		const client = await connectToProxy(stack, 0);
		await client.query('CREATE TABLE accounts (id int PRIMARY KEY, balance int)');
		await client.query('INSERT INTO accounts VALUES (1, 100)');
		await client.query('INSERT INTO accounts VALUES (2, 100)');
		await client.end();
	});

	after(async () => {
		await stack[Symbol.asyncDispose]();
	});

	describe('of a caller that dies', () => {
		it('are rolled back', async () => {
			const clients = await Promise.all(Array.from({length: 4}, async () => connectToProxy(stack, 0)));
			const [first, ...others] = clients;
			assert.ok(first);
			await beginTransfer(first);
			(first as unknown as Readonly<{connection: Readonly<{stream: Readonly<{destroy: () => void}>}>}>).connection.stream.destroy();
			await Promise.all(others.map(async client => client.end()));
			await checkWhole();
		});
	});

	describe('of an entry that dies', () => {
		it('are rolled back', async () => {
			const homes = await findHomes();
			const place = getProxies().findIndex(proxy => !homes.includes(proxy.vm));
			const client = await connectToProxy(stack, place);
			await beginTransfer(client);
			const proxy = getProxies()[place];
			assert.ok(proxy);
			await killAndReplace(proxy);
			await stack.waitUntilReady();
			await checkWhole();
		});
	});

	describe('of a home that dies', () => {
		it('are rolled back, and the caller is told that the outcome is not known or that nothing was kept', async () => {
			const homes = await findHomes();
			const place = getProxies().findIndex(proxy => !homes.includes(proxy.vm));
			const client = await connectToProxy(stack, place);
			await beginTransfer(client);
			for (const proxy of getProxies().filter(one => homes.includes(one.vm))) {
				await killAndReplace(proxy);
			}

			await assert.rejects(client.query('UPDATE accounts SET balance = balance + 50 WHERE id = 2'), (error: Readonly<{code?: string}>) => error.code === '08007' || error.code === '25P03');
			await stack.waitUntilReady();
			await checkWhole();
		});
	});

	describe('that idle', () => {
		it('are rolled back at their deadline, and the caller is told', async () => {
			const client = await connectToProxy(stack, 1);
			await beginTransfer(client);
			await wait(IDLE_MS * 2);
			await assert.rejects(client.query('COMMIT'));
			await checkWhole();
		});
	});
});
