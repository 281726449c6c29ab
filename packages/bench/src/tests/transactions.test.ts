/** Transactions whose caller, entry or database owner fails, or that stay idle: nothing is partly applied, and no locks are left behind. */

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

const IDLE_TIMEOUT_MS = 600;
const TOTAL_BALANCE = 200;

describe('transactions', () => {
	let stack: Stack;

	const getProxies = (): readonly StackProxy[] => [...stack.proxies.values()];

	/** Begins a transaction that is to move 50 from the first account to the second. */
	const beginTransfer = async (client: pg.Client) => {
		await client.query('BEGIN');
		await client.query('UPDATE accounts SET balance = balance - 50 WHERE id = 1');
	};

	/** Transfers 1 in both directions, which requires the locks of both accounts, and asserts that the balances are unchanged. */
	const assertBalancesUnchanged = async () => {
		const client = await connectToProxy(stack, 2);
		for (const amount of [1, -1]) {
			await client.query('BEGIN');
			await client.query('UPDATE accounts SET balance = balance - $1 WHERE id = 1', [amount]);
			await client.query('UPDATE accounts SET balance = balance + $1 WHERE id = 2', [amount]);
			await client.query('COMMIT');
		}

		const result = await client.query<{balance: number}>('SELECT balance FROM accounts ORDER BY id');
		await client.end();
		assert.deepEqual(result.rows.map(row => row.balance), [TOTAL_BALANCE / 2, TOTAL_BALANCE / 2]);
	};

	/** Finds the vms that own the connections to the primary. */
	const findOwners = async (): Promise<readonly string[]> => {
		const [database] = Object.keys(stack.inventory.databases);
		const primary = await findPrimary(stack, database ?? '');
		const statuses = await stack.getStatuses();
		return statuses.filter(status => status.homes.some(owned => owned.target === primary && owned.busy + owned.open > 0)).map(status => status.vm);
	};

	const killAndRestart = async (proxy: StackProxy) => {
		proxy.process.kill('SIGKILL');
		await proxy.exited;
		await stack.startProxy(proxy.vm, proxy.dataCentre);
	};

	before(async () => {
		const inventory = takeFirstDatabase(readExample('dvorak'), {rate: 1000, burst: 2000});
		const services = Object.fromEntries(Object.entries(inventory.services).map(([name, service]) => [name, {...service, idleTransactionMs: IDLE_TIMEOUT_MS}]));
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

	describe('of a caller that disconnects', () => {
		it('are rolled back', async () => {
			const clients = await Promise.all(Array.from({length: 4}, async () => connectToProxy(stack, 0)));
			const [disconnectingClient, ...otherClients] = clients;
			assert.ok(disconnectingClient);
			await beginTransfer(disconnectingClient);
			(disconnectingClient as unknown as Readonly<{connection: Readonly<{stream: Readonly<{destroy: () => void}>}>}>).connection.stream.destroy();
			await Promise.all(otherClients.map(async client => client.end()));
			await assertBalancesUnchanged();
		});
	});

	describe('of an entry that is killed', () => {
		it('are rolled back', async () => {
			const owners = await findOwners();
			const proxyIndex = getProxies().findIndex(proxy => !owners.includes(proxy.vm));
			const client = await connectToProxy(stack, proxyIndex);
			await beginTransfer(client);
			const proxy = getProxies()[proxyIndex];
			assert.ok(proxy);
			await killAndRestart(proxy);
			await stack.waitUntilReady();
			await assertBalancesUnchanged();
		});
	});

	describe('of a database owner that is killed', () => {
		it('are rolled back, and the caller receives an error that the outcome is unknown or that the transaction was rolled back', async () => {
			const owners = await findOwners();
			const proxyIndex = getProxies().findIndex(proxy => !owners.includes(proxy.vm));
			const client = await connectToProxy(stack, proxyIndex);
			await beginTransfer(client);
			for (const proxy of getProxies().filter(candidate => owners.includes(candidate.vm))) {
				await killAndRestart(proxy);
			}

			await assert.rejects(client.query('UPDATE accounts SET balance = balance + 50 WHERE id = 2'), (error: Readonly<{code?: string}>) => error.code === '08007' || error.code === '25P03');
			await stack.waitUntilReady();
			await assertBalancesUnchanged();
		});
	});

	describe('that stay idle', () => {
		it('are rolled back after the idle timeout, and the caller receives an error', async () => {
			const client = await connectToProxy(stack, 1);
			await beginTransfer(client);
			await wait(IDLE_TIMEOUT_MS * 2);
			await assert.rejects(client.query('COMMIT'));
			await assertBalancesUnchanged();
		});
	});
});
