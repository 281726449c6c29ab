/** Byte budget: no customer, connection or crowd takes all of it, and a single message is always served. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeBudgetBytes, createByteBudget, type ByteAccount} from '../byte-budget.js';

const KB = 1024;
const MB = 1024 * KB;
const TOTAL = 16 * MB;

const createSetup = () => {
	const budget = createByteBudget(TOTAL);
	const evicted: string[] = [];
	const granted: string[] = [];
	const open = (name: string, customer: string, bytes = 0): ByteAccount => {
		const account: ByteAccount = budget.openAccount(() => {
			evicted.push(name);
			account.close();
		});
		account.setCustomer(customer);
		account.add(bytes);
		return account;
	};

	const reserve = (account: ByteAccount, name: string) => {
		account.reserve(MB, () => {
			granted.push(name);
		});
	};

	return {
		budget, evicted, granted, open, reserve,
	};
};

describe('byte budget', () => {
	describe('of a process', () => {
		it('follows the smaller of heap and memory, and holds one message at least', () => {
			assert.equal(computeBudgetBytes({memoryBytes: 168 * MB, heapBytes: 126 * MB}), 12 * MB);
			assert.equal(computeBudgetBytes({memoryBytes: Number.POSITIVE_INFINITY, heapBytes: 128 * MB}), 16 * MB);
			assert.equal(computeBudgetBytes({memoryBytes: 32 * MB, heapBytes: 126 * MB}), 6 * MB);
		});
	});

	describe('for reservations', () => {
		// A crowd of one customer that stops half-way must leave room for the messages of others.
		it('gives one customer half, others the rest, and the next in order what is given back', () => {
			const {granted, open, reserve} = createSetup();
			const accounts = Array.from({length: 10}, (_, index) => open(`a${index}`, 'a', 64 * KB));
			for (const [index, account] of accounts.entries()) {
				reserve(account, `a${index}`);
			}

			assert.deepEqual(granted, ['a0', 'a1', 'a2', 'a3', 'a4', 'a5']);
			reserve(open('b0', 'b', 64 * KB), 'b0');
			assert.equal(granted.at(-1), 'b0');
			accounts[3]?.endReservation();
			assert.equal(granted.at(-1), 'a6');
			assert.equal(accounts[3]?.mayRead(), false);
			accounts[0]?.close();
			assert.equal(granted.at(-1), 'a7');
		});

		it('grants the first of all, even if little is left', () => {
			const {granted, open, reserve} = createSetup();
			for (let index = 0; index < 1000; index++) {
				open(`s${index}`, 's', 16 * KB);
			}

			reserve(open('a', 'a', 64 * KB), 'a');
			assert.deepEqual(granted, ['a']);
		});

		it('is not needed within the free share', () => {
			const {open} = createSetup();
			assert.equal(open('a', 'a', 10 * KB).mayRead(), true);
			assert.equal(open('b', 'a', 64 * KB).mayRead(), false);
		});
	});

	describe('that is full', () => {
		// Answers that nobody takes are held without a reservation.
		it('closes the largest holder, and no more than needed', () => {
			const {budget, evicted, open} = createSetup();
			open('small', 'a', 10 * KB);
			open('large', 'a', 9 * MB);
			open('medium', 'b', 6 * MB);
			open('last', 'b', 2 * MB);
			assert.deepEqual(evicted, ['large']);
			assert.ok(budget.getHeldBytes() <= TOTAL);
		});
	});

	describe('for work in progress', () => {
		it('refuses long work over a customer\'s half or the part for long work, and leaves room for short work', () => {
			const {budget, open} = createSetup();
			const start = (customer: string, bytes: number) => {
				const account = budget.openAccount();
				account.setCustomer(customer);
				return account.tryAdd(bytes);
			};

			assert.deepEqual(Array.from({length: 9}, () => start('a', MB)), [true, true, true, true, true, true, true, true, false]);
			assert.deepEqual(Array.from({length: 5}, () => start('b', MB)), [true, true, true, true, false]);
			assert.equal(start('c', 2 * KB), true);
			assert.equal(open('d', 'd').tryAdd(MB), false);
		});
	});

	describe('for what sessions keep', () => {
		it('is a quarter, of which one customer has half, and is given back when sessions end', () => {
			const {open} = createSetup();
			const accounts = Array.from({length: 3}, () => open('a', 'a'));
			assert.deepEqual(accounts.map(account => account.tryKeep(MB)), [true, true, false]);
			assert.equal(open('b', 'b').tryKeep(MB), true);
			accounts[0]?.close();
			assert.equal(accounts[2]?.tryKeep(MB), true);
		});
	});
});
